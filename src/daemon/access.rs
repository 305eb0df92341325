//! Who may send a request to which listener.

use super::CallerRoute;
use super::Surface;
use crate::auth::ANSWER_HEADER;
use crate::auth::CallerGuard;
use crate::auth::OperatorGuard;
use crate::auth::PeerGuard;
use crate::auth::PeerSignature;
use crate::auth::SIGNATURE_HEADER;
use crate::auth::SignedAnswer;
use crate::auth::SignedRequest;
use crate::auth::wall_clock;
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

/// Checks who sent a request.
#[derive(Debug)]
pub struct Access {
    receiver: InstanceName,
    callers: CallerGuard,
    operators: Option<OperatorGuard>,
    peers: PeerGuard,
}

impl Access {
    /// Checks by the keys of the settings.
    pub fn new(settings: &Settings) -> Self {
        let keys = &settings.keys;
        Self {
            receiver: settings.instance.clone(),
            callers: CallerGuard::new(keys.callers.clone()),
            operators: keys.operators.clone().map(OperatorGuard::new),
            peers: PeerGuard::new(keys.peers.clone(), wall_clock()),
        }
    }

    /// Refuses a request whose sender doesn't prove who it is; gives a peer's signature.
    ///
    /// # Errors
    ///
    /// `Unauthenticated`, or `Overloaded` if too many peer messages came lately.
    pub fn check(
        &self,
        surface: Surface,
        req: &Request,
        metrics: &Metrics,
    ) -> Result<Option<PeerSignature>> {
        let (checked, refusals) = match surface {
            Surface::Caller => (self.check_caller(req).map(|()| None), Counter::CallerRefused),
            Surface::Peer => (self.check_peer(req).map(Some), Counter::PeerRefused),
            Surface::Operator => (self.check_operator(req).map(|()| None), Counter::CallerRefused),
        };
        checked.inspect_err(|_| metrics.count(refusals))
    }

    /// Signs the answer to a peer's request.
    pub fn sign(&self, request: &PeerSignature, reply: Reply) -> Reply {
        let body = match &reply.body {
            ReplyBody::Whole(body) => Some(body.as_ref()),
            ReplyBody::Stream(_) => None,
        };
        let answer = SignedAnswer { request, status: reply.status, body };
        let signature = self.peers.sign_answer(&answer);
        reply.header(ANSWER_HEADER, signature)
    }

    fn check_caller(&self, req: &Request) -> Result<()> {
        // Balancers ask for readiness without a key.
        if req.path == CallerRoute::Ready.path() {
            return Ok(());
        }
        self.callers.check(req.header(AUTHORIZATION)).map(drop)
    }

    fn check_operator(&self, req: &Request) -> Result<()> {
        match &self.operators {
            Some(guard) => guard.check(req.header(AUTHORIZATION)),
            None => Err(Error::new(ErrorKind::Forbidden, "operators have no key")),
        }
    }

    fn check_peer(&self, req: &Request) -> Result<PeerSignature> {
        let signed = SignedRequest {
            method: &req.method,
            path: &req.path,
            receiver: &self.receiver,
            body: &req.body,
        };
        self.peers.verify(wall_clock(), req.header(SIGNATURE_HEADER), &signed)
    }
}
