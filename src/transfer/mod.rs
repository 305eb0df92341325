//! Sends and receives large values of the published state, in pieces and compressed.
//!
//! [`crate::decide::transfer`] decides whom to ask and whom to serve. [`ValueTransfers`] carries that
//! out: it makes the encodings, answers other instances, and asks them until a value is there. What
//! became of each ask is told to the caller by [`TransferTry`], for the log.

mod encoding;
mod encoding_cache;
mod received_value;
mod transfer_failure;
mod transfer_try;
mod value_transfers;

pub use encoding::decode_value;
pub use encoding::encode_value;
pub use received_value::ReceivedValue;
pub use transfer_failure::TransferFailure;
pub use transfer_try::TransferTry;
pub use transfer_try::TryEnd;
pub use value_transfers::ValueTransfers;
