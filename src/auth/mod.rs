//! Authentication: signed messages between peers, bearer keys of callers and operators.
//!
//! Peers sign each request with the fleet's shared key. The signature is an HMAC-SHA256
//! over the method, path, receiver, sender, time, nonce and body. [`PeerGuard`] checks the
//! signature first and then that the message is no replay. A response is signed over the
//! request's signature, its status and its body; the signature of a streamed response covers
//! its head only. The refusal of an unauthenticated request is not signed, so it proves
//! nothing to the sender.

mod bearer;
mod caller_guard;
mod hex;
mod operator_guard;
mod peer_guard;
mod peer_signer;
mod signature;
mod signed_request;
mod signed_response;
mod time_and_nonce;

pub use caller_guard::CallerGuard;
pub use operator_guard::OperatorGuard;
pub use peer_guard::PeerGuard;
pub use peer_signer::PeerSigner;
pub use signature::PeerSignature;
pub use signature::SIGNATURE_HEADER;
pub use signed_request::SignedRequest;
pub use signed_response::RESPONSE_SIGNATURE_HEADER;
pub use signed_response::SignedResponse;
pub use time_and_nonce::random_nonce;
pub use time_and_nonce::wall_clock_now;
