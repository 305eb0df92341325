//! Sizes of buffers that differ in how much of the budget they may take.

/// Most bytes of a small buffer. Bodies of ordinary requests are far smaller.
const MAX_SMALL_BYTES: usize = 64 * 1024;
/// Part of the budget that is kept free of large buffers, as its inverse.
const SMALL_SHARE: usize = 4;

/// Whether a buffer is small.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferClass {
    /// It may take any part of the budget.
    Small,
    /// It must leave a part of the budget to small ones.
    Large,
}

impl BufferClass {
    /// Class of a buffer of this size.
    pub fn of(bytes: usize) -> Self {
        if bytes <= MAX_SMALL_BYTES { Self::Small } else { Self::Large }
    }

    /// Bytes of a budget of `capacity` that all buffers may take together for one of this class to
    /// grow.
    pub fn limit(self, capacity: usize) -> usize {
        match self {
            Self::Small => capacity,
            Self::Large => capacity - capacity / SMALL_SHARE,
        }
    }
}
