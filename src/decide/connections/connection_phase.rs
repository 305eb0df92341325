//! What a connection is doing.

/// What is awaited on a connection. The order is that in which connections are closed to make room:
/// those first whose end costs their callers least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPhase {
    /// Its caller's end, after the last response.
    Closing,
    /// A request.
    Idle,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Body,
    /// A response; not closed to make room.
    Response,
}
