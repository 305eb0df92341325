//! Forwards a stream of server-sent events from a replica to a caller.
//!
//! Only whole events are forwarded, as soon as they are complete. If the replica breaks off or
//! stops sending, the stream resumes at another replica after the last event, where the route and
//! the retry budget allow it; otherwise the response to the caller is aborted.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;

use super::attempt;
use super::attempt::OpenStream;
use super::attempt::Origin;
use super::attempt::ReplicaBody;
use super::forwarded_request::ForwardedRequest;
use super::log_event::LogEvent;
use super::log_event::record;
use super::metrics::Outcome;
use super::prompt_quarantine;
use super::response::AbortedBody;
use super::response::ResponseBody;
use crate::decide::traffic::EventSplitter;
use crate::names::Timestamp;

/// A stream that is being forwarded to a caller.
pub struct StreamRelay {
    request: ForwardedRequest,
    stream: Option<OpenStream>,
    splitter: EventSplitter,
    has_event: bool,
    last_data: Timestamp,
    longest_pause: Duration,
}

/// What came from the replica, or didn't come in time.
enum StreamItem {
    Data(Bytes),
    End,
    Broken,
    Silent,
    TimedOut,
}

impl StreamRelay {
    /// A stream whose head has arrived; `resume_after` is the id of the caller's last event.
    pub fn new(
        request: ForwardedRequest,
        stream: OpenStream,
        resume_after: Option<String>,
    ) -> Self {
        let splitter = EventSplitter::new(resume_after);
        let last_data = request.node.now();
        let longest_pause = Duration::ZERO;
        let stream = Some(stream);
        Self { request, stream, splitter, has_event: false, last_data, longest_pause }
    }

    /// The stream as the body of the response to the caller.
    pub fn into_body(self) -> ResponseBody {
        let frames = stream::unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next.map(Frame::data), relay))
        });
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }

    async fn next(&mut self) -> Option<Result<Bytes, AbortedBody>> {
        loop {
            let stream = self.stream.as_mut()?;
            let item = read_item(&self.request, stream).await;
            if self.is_broken_off(&item) {
                self.on_crash();
            }
            let stream = self.stream.as_mut()?;
            match item {
                StreamItem::Data(data) => {
                    stream.in_flight.on_bytes_received();
                    let now = self.request.node.now();
                    if stream.progress.on_data(now) {
                        prompt_quarantine::on_sound(&self.request);
                    }
                    self.longest_pause = self.longest_pause.max(now.since(self.last_data));
                    self.last_data = now;
                    if !self.has_event {
                        self.has_event = true;
                        stream.in_flight.on_event();
                    }
                    let events = self.splitter.push(&data);
                    if self.splitter.is_overlong() {
                        return Some(self.abort("an event is too long"));
                    }
                    if !events.is_empty() {
                        return Some(Ok(events));
                    }
                }
                StreamItem::End if !self.is_broken_off(&item) => {
                    self.finish();
                    return None;
                }
                StreamItem::End | StreamItem::Broken | StreamItem::Silent => {
                    if !self.resume().await {
                        return Some(self.abort("its replica broke off"));
                    }
                }
                StreamItem::TimedOut => {
                    self.request.record_deadline();
                    return Some(self.abort("its time is over"));
                }
            }
        }
    }

    /// Whether the replica ended the connection before the end of the stream.
    fn is_broken_off(&self, item: &StreamItem) -> bool {
        match item {
            StreamItem::Broken => true,
            StreamItem::End => !self.is_complete(),
            StreamItem::Data(_) | StreamItem::Silent | StreamItem::TimedOut => false,
        }
    }

    /// Whether the replica has sent its stream to the end, if it sends nothing more.
    fn is_complete(&self) -> bool {
        let has_marked_end = self.stream.as_ref().is_some_and(|stream| stream.has_marked_end);
        self.splitter.is_complete(has_marked_end)
    }

    /// Suspects the parts of the prompt, unless the replica went on for a while with the response.
    fn on_crash(&self) {
        let Some(stream) = &self.stream else { return };
        if stream.progress.may_have_crashed() {
            let Origin { replica, started_ms, .. } = &stream.origin;
            prompt_quarantine::on_crash(&self.request, replica, *started_ms, true);
        }
    }

    /// Resumes the stream at another replica; returns whether one sends it now.
    async fn resume(&mut self) -> bool {
        let Some(stream) = self.stream.take() else { return false };
        let replica = stream.origin.replica.clone();
        drop(stream);
        attempt::record_replica_failure(&self.request, &replica, 1.0);
        self.request.on_broken_connection(&replica);
        if !self.request.try_take_stream_retry() {
            return false;
        }
        self.splitter.drop_partial();
        let last_id = self.splitter.last_id().map(str::to_owned);
        record(&LogEvent::StreamResumes { id: &self.request.head.id, after: last_id.as_deref() });
        let Ok(response) = self.request.obtain_response(last_id.as_deref()).await else {
            return false;
        };
        let ReplicaBody::Stream(stream) = response.body else { return false };
        self.has_event = false;
        self.stream = Some(*stream);
        true
    }

    fn abort(&mut self, reason: &str) -> Result<Bytes, AbortedBody> {
        record(&LogEvent::StreamCut { id: &self.request.head.id, reason });
        self.count_end(Outcome::Cut);
        self.stream = None;
        Err(AbortedBody)
    }

    fn count_end(&self, outcome: Outcome) {
        let (metrics, kind) = (&self.request.node.metrics, self.request.route.kind);
        metrics.on_longest_pause(kind, self.longest_pause);
        metrics.on_request_end(kind, outcome);
    }

    fn finish(&mut self) {
        let Some(stream) = self.stream.take() else { return };
        self.count_end(Outcome::Answered);
        let OpenStream { has_marked_end, origin, connection, in_flight, mut progress, .. } = stream;
        drop(in_flight);
        if progress.on_end(has_marked_end) {
            prompt_quarantine::on_sound(&self.request);
        }
        if let Some(limit) = origin.keep_alive {
            let node = &self.request.node;
            node.connection_pool.put_idle(
                node.now(),
                &origin.replica,
                origin.addr,
                connection,
                Some(limit),
            );
        }
    }
}

fn record_stream_break(request: &ForwardedRequest, stream: &OpenStream, detail: &str) {
    let replica = stream.origin.replica.as_str();
    let parts = request.head.needs.shared_parts().iter();
    let parts: Vec<String> = parts.map(|part| format!("{:x}", part.id)).collect();
    let lasted_ms = stream.progress.lasted().as_millis();
    let id = &request.head.id;
    record(&LogEvent::StreamBroke { id, replica, parts: &parts, lasted_ms, detail });
}

async fn read_item(request: &ForwardedRequest, stream: &mut OpenStream) -> StreamItem {
    let replica = &stream.origin.replica;
    let frame = tokio::select! {
        frame = stream.source.frame() => frame,
        () = request.until_deadline() => return StreamItem::TimedOut,
        () = request.until_stopped_sending(replica) => {
            record_stream_break(request, stream, "silent");
            return StreamItem::Silent;
        }
    };
    match frame {
        None => StreamItem::End,
        Some(Err(e)) => {
            record_stream_break(request, stream, &e.to_string());
            StreamItem::Broken
        }
        Some(Ok(frame)) => StreamItem::Data(frame.into_data().unwrap_or_default()),
    }
}
