//! Transfer of large values of the published state between instances.
//!
//! A value is known by a hash of its content ([`ValueId`]) and sent in pieces of a compressed
//! encoding, as the difference from a value that the receiver has where the sender has that too. The
//! encoding depends on both values only, so a receiver goes on at another instance where the last
//! one left off.
//!
//! [`Fetch`] is the receiver's side of one transfer: whom to ask next, and when to give up.
//! [`Serving`] is the sender's: how many receivers get pieces at once, and where the others are sent.
//! The instances that have a value thus grow in number with every transfer, and no link carries more
//! copies than it can finish soon. [`FetchTurn`] keeps one instance from asking for the same changes
//! twice at a time, [`ProgressLimit`] bounds how slowly an answer of any length may come, and
//! [`ReadPace`] how much of a reader's link the store's answers take. [`Lag`] decides what an instance may
//! still answer while it knows that a peer has changes which it lacks.

mod encoded_value;
mod encoding_id;
mod fetch;
mod fetch_step;
mod fetch_turn;
mod held_values;
mod lag;
mod large_value;
mod progress_limit;
mod read_pace;
mod serving;
mod source;
mod turn_away;
mod value_id;
mod value_reference;

pub use encoded_value::EncodedValue;
pub use encoding_id::EncodingId;
pub use fetch::Fetch;
pub use fetch_step::FetchStep;
pub use fetch_turn::FetchTurn;
pub use held_values::HeldValues;
pub use lag::Lag;
pub use lag::LagVerdict;
pub use large_value::LARGE_VALUE_BYTES;
pub use large_value::LargeValue;
pub use large_value::MAX_VALUE_BYTES;
pub use progress_limit::ProgressLimit;
pub use read_pace::NextRead;
pub use read_pace::ReadPace;
pub use serving::Serving;
pub use turn_away::TurnAway;
pub use value_id::ValueId;
pub use value_reference::ValueReference;

/// Most bytes of an encoding in one piece.
pub const MAX_PIECE_BYTES: usize = 32 * 1024;
/// Fewest bytes of an encoding in one piece, for links on which larger ones aren't complete in time.
pub const MIN_PIECE_BYTES: usize = 4 * 1024;
