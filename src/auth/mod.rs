//! Who sent a message: signatures of peers, bearer keys of callers and operators.
//!
//! Peers sign each request with the fleet's shared key (HMAC-SHA256) over the
//! method, path, receiver, sender, time, nonce and body; [`PeerGuard`] checks
//! the signature first and then that the message is new. An answer is signed over
//! the request's signature, its status and its body; of a streamed answer only the
//! begin is signed. A refusal of an unauthenticated request is not signed, so it
//! proves nothing to the sender.

mod bearer;
mod caller_guard;
mod entropy;
mod hex;
mod operator_guard;
mod peer_guard;
mod peer_signer;
mod signature;
mod signed_answer;
mod signed_request;

pub use caller_guard::CallerGuard;
pub use entropy::random_nonce;
pub use entropy::wall_clock;
pub use operator_guard::OperatorGuard;
pub use peer_guard::PeerGuard;
pub use peer_signer::PeerSigner;
pub use signature::PeerSignature;
pub use signature::SIGNATURE_HEADER;
pub use signed_answer::ANSWER_HEADER;
pub use signed_answer::SignedAnswer;
pub use signed_request::SignedRequest;
