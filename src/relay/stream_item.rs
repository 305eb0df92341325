//! Reads what a replica sends of a stream.

use bytes::Bytes;
use http_body_util::BodyExt;

use super::forwarded_request::ForwardedRequest;
use super::log_event::LogEvent;
use super::log_event::record;
use super::open_stream::OpenStream;
use super::silence;

/// What came from the replica, or didn't come in time.
pub enum StreamItem {
    /// Some bytes.
    Data(Bytes),
    /// The end of the response.
    End,
    /// The response broke off.
    Broken,
    /// Nothing for long; the response is still open.
    Silent,
    /// Nothing until the time limit of the request.
    TimedOut,
    /// Nothing before the process needed the room of the unfinished event.
    OutOfRoom,
    /// It broke off, and no other replica resumes the stream.
    Lost,
}

/// Waits for what comes next; for a silence only if `watches_silence`.
pub async fn read(
    request: &ForwardedRequest,
    stream: &mut OpenStream,
    watches_silence: bool,
) -> StreamItem {
    let replica = &stream.origin.replica;
    let frame = tokio::select! {
        biased;
        frame = stream.source.frame() => frame,
        () = request.until_deadline() => return StreamItem::TimedOut,
        () = silence::within_stream(request, replica), if watches_silence => {
            return StreamItem::Silent;
        }
    };
    match frame {
        None => StreamItem::End,
        Some(Err(e)) => {
            record_break(request, stream, &e.to_string());
            StreamItem::Broken
        }
        Some(Ok(frame)) => StreamItem::Data(frame.into_data().unwrap_or_default()),
    }
}

fn record_break(request: &ForwardedRequest, stream: &OpenStream, detail: &str) {
    let replica = stream.origin.replica.as_str();
    let parts = request.head.needs.shared_parts().iter();
    let parts: Vec<String> = parts.map(|part| format!("{:x}", part.id)).collect();
    let lasted_ms = stream.progress.lasted().as_millis();
    let id = &request.head.id;
    record(&LogEvent::StreamBroke { id, replica, parts: &parts, lasted_ms, detail });
}
