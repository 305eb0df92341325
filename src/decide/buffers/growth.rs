//! Sizes to which a buffer grows.

/// Size of a buffer at first, in bytes.
const FIRST_BYTES: usize = 4 * 1024;

/// Size of a buffer that must hold `needed` bytes and has `held` now: doubled, so that it takes at most
/// twice what has arrived, and never above `max`, the longest body that may arrive.
pub fn grown_size(held: usize, needed: usize, max: usize) -> usize {
    if needed <= held {
        return held;
    }
    (held * 2).max(FIRST_BYTES).min(max).max(needed)
}
