//! Answer to a buffer that asks for room.

use super::BufferId;

/// Whether a buffer may grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// It may; the bytes are taken.
    Granted,
    /// Not before others are closed that are being given up; it asks again then.
    Awaited,
    /// Not before this one is closed, which is to be given up now; it asks again then.
    AwaitedOf(BufferId),
    /// It is the one to be given up.
    Refused,
}
