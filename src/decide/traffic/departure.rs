//! How a replica left.

use serde::Deserialize;
use serde::Serialize;

/// What became of a replica that left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Departure {
    /// Its entry was removed without a word before: it may still run, and serve what it has begun.
    Silent,
    /// The same, and instances served for some time afterwards: if it has ended by now, it most likely did
    /// while they could resume its streams elsewhere.
    SilentInService,
    /// It has ended, perhaps while no instance was there to resume its streams elsewhere.
    Ended,
    /// It ended while instances served, which resumed its streams elsewhere.
    EndedInService,
}
