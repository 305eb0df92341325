//! The request that a replica gets: the caller's, with the headers of the attempt.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header;

use super::AttemptHeaderValues;
use super::forwarded_request::ForwardedRequest;
use crate::names::BackendName;

/// Builds the request for `replica`; a stream goes on after the event `resume_after`.
pub fn build(
    request: &ForwardedRequest,
    replica: &BackendName,
    resume_after: Option<&str>,
) -> Request<Full<Bytes>> {
    let needs = &request.head.needs;
    let version = needs.key.as_ref().and_then(|key| request.required_version(replica, key));
    let values = AttemptHeaderValues {
        replica,
        account: request.caller_account.header(),
        time_left: request.time_left(),
        priority: needs.key.is_some().then_some(request.priority()),
        resume_after,
        version,
    };
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = request.parts.method.clone();
    *req.uri_mut() = request.path.clone();
    *req.headers_mut() = request.node.protocol.attempt_headers(&request.headers, &values);
    let has_body = !request.body.is_empty() || request.has_length;
    if has_body {
        req.headers_mut().insert(header::CONTENT_LENGTH, request.body.len().into());
    }
    req
}
