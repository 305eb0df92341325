//! First response to a request; one that takes up a stream goes only to replicas of the software
//! version that began it.
//!
//! It is refused before any replica gets it if that version can't be found out, and with the time
//! that the caller has left if the version is gone: another one would mix its events with those
//! that the caller has.

use super::attempt::ReplicaResponse;
use super::forwarded_request::ForwardedRequest;
use super::metrics::ResumptionOutcome;
use super::response::LocalResponse;
use super::stream_origins;
use crate::decide::traffic::RETRY_AFTER;
use crate::decide::traffic::StreamVersion;

/// Tries replicas until one sends a response that can be forwarded.
///
/// # Errors
///
/// The relay's own response, if no replica's can be forwarded.
pub async fn obtain_first_response(
    request: &mut ForwardedRequest,
) -> Result<ReplicaResponse, LocalResponse> {
    let resume_after = request.head.resume_after.clone();
    let is_decided = request.is_passed_on && request.head.needs.software.is_some();
    if resume_after.is_none() || !request.route.kind.is_stream() || is_decided {
        return request.obtain_response(resume_after.as_deref()).await;
    }
    let ForwardedRequest { node, head, service, route, .. } = &*request;
    let found = stream_origins::find(node, head, &service.name, route.timeout).await;
    let obtained = match found.version {
        StreamVersion::At(software) => {
            request.head.needs.software = Some(software);
            request.obtain_response(resume_after.as_deref()).await
        }
        StreamVersion::Unknown | StreamVersion::Contradictory => {
            Err(LocalResponse::NotYet(RETRY_AFTER))
        }
    };
    let outcome = match obtained {
        Ok(_) => ResumptionOutcome::GoesOn,
        Err(_) => ResumptionOutcome::Refused,
    };
    request.node.metrics.on_resumption(found.source, outcome);
    obtained
}
