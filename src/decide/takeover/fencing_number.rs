//! Choice of fencing numbers that differ from owner to owner.

use crate::names::FencingNumber;
use crate::names::Incarnation;
use crate::names::WallTime;

/// Low bits of a fencing number that identify its owner; the rest counts takeovers.
const OWNER_BITS: u32 = 20;

/// A number above `highest` that carries the owner's incarnation in its low bits.
///
/// An engine accepts a number equal to the highest it has seen. Two owners that
/// read the same highest number and both added one would both be accepted.
pub fn next_fencing_number(highest: FencingNumber, owner: Incarnation) -> FencingNumber {
    let takeovers = (highest.0 >> OWNER_BITS) + 1;
    FencingNumber((takeovers << OWNER_BITS) | owner_tag(owner))
}

/// Lower bound for numbers chosen at the time of day `wall`, so that the number of a later owner is
/// higher even if the engine has forgotten its highest.
///
/// Owners follow each other by at least the time of a message, so a successor's clock reads later
/// than its predecessor's did, unless the clocks differ by more than that.
pub fn wall_clock_floor(wall: WallTime) -> FencingNumber {
    FencingNumber(wall.0 << OWNER_BITS)
}

/// Whether `number` was chosen by `owner`.
pub fn was_chosen_by(number: FencingNumber, owner: Incarnation) -> bool {
    number.0 % (1 << OWNER_BITS) == owner_tag(owner)
}

fn owner_tag(owner: Incarnation) -> u64 {
    owner.0 % (1 << OWNER_BITS)
}
