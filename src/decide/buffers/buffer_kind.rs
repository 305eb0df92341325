//! What arrives in a buffer.

/// What is lost if a buffer is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferKind {
    /// A request that hasn't been sent anywhere; its sender may repeat it.
    Request,
    /// An answer, or an event of a stream: its request has run, perhaps for nothing then.
    Answer,
}
