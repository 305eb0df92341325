//! Authentication by listener: API keys of callers and operators, signatures of peers.

use super::CallerRoute;
use super::ListenerKind;
use crate::auth::CallerGuard;
use crate::auth::OperatorGuard;
use crate::auth::PeerGuard;
use crate::auth::PeerSignature;
use crate::auth::RESPONSE_SIGNATURE_HEADER;
use crate::auth::SIGNATURE_HEADER;
use crate::auth::SignedRequest;
use crate::auth::SignedResponse;
use crate::auth::wall_clock_now;
use crate::edge::Reply;
use crate::edge::ReplyBody;
use crate::edge::Request;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::InstanceName;
use crate::settings::Settings;
use crate::telemetry::Counter;
use crate::telemetry::Metrics;

const AUTHORIZATION: &str = "authorization";

/// Authenticates requests, and signs the replies to peers.
#[derive(Debug)]
pub struct Access {
    receiver: InstanceName,
    callers: CallerGuard,
    operators: Option<OperatorGuard>,
    peers: PeerGuard,
}

impl Access {
    /// Uses the keys in the settings; without an operator key, operators are refused.
    pub fn new(settings: &Settings) -> Self {
        let keys = &settings.keys;
        Self {
            receiver: settings.instance.clone(),
            callers: CallerGuard::new(keys.callers.clone()),
            operators: keys.operators.clone().map(OperatorGuard::new),
            peers: PeerGuard::new(keys.peers.clone(), wall_clock_now()),
        }
    }

    /// Authenticates a request; returns its signature if it came from a peer.
    ///
    /// Refusals are counted in `metrics`.
    ///
    /// # Errors
    ///
    /// `Unauthenticated`, `Forbidden` for operators without a key in the settings, or `Overloaded`
    /// if too many peer messages arrived lately.
    pub fn check(
        &self,
        listener_kind: ListenerKind,
        req: &Request,
        metrics: &Metrics,
    ) -> Result<Option<PeerSignature>> {
        let (checked, refusals) = match listener_kind {
            ListenerKind::Caller => (self.check_caller(req).map(|()| None), Counter::CallerRefused),
            ListenerKind::Peer => (self.check_peer(req).map(Some), Counter::PeerRefused),
            ListenerKind::Operator => {
                (self.check_operator(req).map(|()| None), Counter::CallerRefused)
            }
        };
        checked.inspect_err(|_| metrics.count(refusals))
    }

    /// Signs the reply to a peer's request; a streamed body isn't covered by the signature.
    pub fn sign(&self, request_signature: &PeerSignature, reply: Reply) -> Reply {
        let body = match &reply.body {
            ReplyBody::Whole(body) => Some(body.as_ref()),
            ReplyBody::Stream(_) => None,
        };
        let response = SignedResponse { request_signature, status: reply.status, body };
        let signature = self.peers.sign_response(&response);
        reply.header(RESPONSE_SIGNATURE_HEADER, signature)
    }

    fn check_caller(&self, req: &Request) -> Result<()> {
        // Load balancers have no key for their readiness checks.
        if req.path == CallerRoute::Ready.path() {
            return Ok(());
        }
        self.callers.check(req.header(AUTHORIZATION)).map(drop)
    }

    fn check_operator(&self, req: &Request) -> Result<()> {
        match &self.operators {
            Some(guard) => guard.check(req.header(AUTHORIZATION)),
            None => Err(Error::new(ErrorKind::Forbidden, "no operator key is set")),
        }
    }

    fn check_peer(&self, req: &Request) -> Result<PeerSignature> {
        let signed = SignedRequest {
            method: &req.method,
            path: &req.path,
            receiver: &self.receiver,
            body: &req.body,
        };
        self.peers.verify(wall_clock_now(), req.header(SIGNATURE_HEADER), &signed)
    }
}
