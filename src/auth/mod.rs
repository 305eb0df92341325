//! Who sent a message: signatures of peers, bearer keys of callers and operators.
//!
//! Peers sign each request with the fleet's shared key (HMAC-SHA256) over the
//! method, path, receiver, sender, time, nonce and body; [`PeerGuard`] checks
//! the signature first and then that the message is new. The answer to a signed
//! request is not signed.

mod bearer;
mod caller_guard;
mod entropy;
mod operator_guard;
mod peer_guard;
mod peer_signer;
mod signature;
mod signed_request;

pub use caller_guard::CallerGuard;
pub use entropy::random_nonce;
pub use entropy::wall_clock;
pub use operator_guard::OperatorGuard;
pub use peer_guard::PeerGuard;
pub use peer_signer::PeerSigner;
pub use signature::PeerSignature;
pub use signature::SIGNATURE_HEADER;
pub use signed_request::SignedRequest;
