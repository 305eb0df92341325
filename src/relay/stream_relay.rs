//! Forwards a stream of server-sent events from a replica to a caller.
//!
//! Only whole events are forwarded, as soon as they are complete. Once one was, the stream goes on
//! only at the software version of its replica. If the replica breaks off, the
//! stream resumes at another replica after the last event, where the route and the retry budget
//! allow it; otherwise the response to the caller is aborted. If the replica falls silent, another
//! one is asked to resume the stream beside it: whichever sends first goes on with the stream.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;

use super::attempt;
use super::attempt::ReplicaBody;
use super::attempt::ReplicaResponse;
use super::event_room::EventRoom;
use super::forwarded_request::ForwardedRequest;
use super::log_event::LogEvent;
use super::log_event::record;
use super::metrics::Outcome;
use super::open_stream::OpenStream;
use super::origin::Origin;
use super::parked_stream::ParkedStream;
use super::prompt_quarantine;
use super::response::AbortedBody;
use super::response::LocalResponse;
use super::response::ResponseBody;
use super::stream_item;
use super::stream_item::StreamItem;
use super::stream_origins;
use crate::decide::traffic::EventSplitter;
use crate::decide::traffic::StreamPace;
use crate::names::BackendName;
use crate::names::Timestamp;

/// A stream that is being forwarded to a caller.
pub struct StreamRelay {
    request: ForwardedRequest,
    stream: Option<OpenStream>,
    /// The stream while the caller's connection takes nothing.
    parked: ParkedStream,
    splitter: EventSplitter,
    /// Room for the unfinished event.
    room: EventRoom,
    /// Whether the response has come to its end, complete or not.
    has_ended: bool,
    has_event: bool,
    /// Whether the caller gets events of this response, so that no other version may go on.
    has_begun: bool,
    last_data: Timestamp,
    longest_pause: Duration,
    /// Pace of the replica that sends the stream now.
    pace: StreamPace,
    /// Whether its silence is watched for; not after another replica was looked for in vain.
    watches_silence: bool,
}

/// Which of a silent replica and another one sent first.
enum FirstToSend {
    Silent(StreamItem),
    Other { response: Result<ReplicaResponse, LocalResponse>, silent_broke: bool },
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
        let room = EventRoom::new(&request.node.pressure.buffers);
        let parked = ParkedStream::new(Arc::clone(&request.deadline));
        parked.park(Some(stream));
        Self {
            request,
            stream: None,
            parked,
            splitter,
            room,
            has_ended: false,
            has_event: false,
            has_begun: false,
            last_data,
            longest_pause,
            pace: StreamPace::default(),
            watches_silence: true,
        }
    }

    /// The stream as the body of the response to the caller.
    pub fn into_body(self) -> ResponseBody {
        let frames = stream::unfold(self, |mut relay| async move {
            let next = relay.next_or_abort().await?;
            Some((next.map(Frame::data), relay))
        });
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }

    /// The next events; the stream is parked until they are taken.
    async fn next_or_abort(&mut self) -> Option<Result<Bytes, AbortedBody>> {
        if self.has_ended {
            return None;
        }
        self.stream = self.parked.take();
        let next = match &self.stream {
            Some(_) => self.next().await,
            None => {
                self.request.record_deadline();
                Some(self.abort("its time is over, and its caller took nothing"))
            }
        };
        self.has_ended = !matches!(next, Some(Ok(_)));
        self.parked.park(self.stream.take());
        next
    }

    async fn next(&mut self) -> Option<Result<Bytes, AbortedBody>> {
        loop {
            let stream = self.stream.as_mut()?;
            let mut item = tokio::select! {
                biased;
                item = stream_item::read(&self.request, stream, self.watches_silence) => item,
                () = self.room.until_evicted() => StreamItem::OutOfRoom,
            };
            if matches!(item, StreamItem::Silent) {
                match self.resume_beside().await {
                    Some(sent) => item = sent,
                    None => continue,
                }
            }
            match item {
                StreamItem::Data(data) => match self.on_data(&data) {
                    Ok(events) if events.is_empty() => {
                        if self.room.hold(self.splitter.held_bytes()).await.is_err() {
                            return Some(self.abort_for_room());
                        }
                    }
                    forwarded => {
                        self.room.shrink(self.splitter.held_bytes());
                        return Some(forwarded);
                    }
                },
                StreamItem::End if self.is_complete() => {
                    self.finish();
                    return None;
                }
                StreamItem::End | StreamItem::Broken => {
                    if !self.resume().await {
                        return Some(self.abort("its replica broke off"));
                    }
                }
                StreamItem::Lost => return Some(self.abort("its replica broke off")),
                StreamItem::Silent => {}
                StreamItem::OutOfRoom => return Some(self.abort_for_room()),
                StreamItem::TimedOut => {
                    self.request.record_deadline();
                    return Some(self.abort("its time is over"));
                }
            }
        }
    }

    /// Buffers data and returns the events that are complete now.
    fn on_data(&mut self, data: &Bytes) -> Result<Bytes, AbortedBody> {
        let now = self.request.node.now();
        if let Some(stream) = &mut self.stream {
            stream.in_flight.on_bytes_received();
            if stream.progress.on_data(now) {
                prompt_quarantine::on_sound(&self.request);
            }
            if !self.has_event {
                self.has_event = true;
                stream.in_flight.on_event();
            }
        }
        self.watches_silence = true;
        self.longest_pause = self.longest_pause.max(now.since(self.last_data));
        self.last_data = now;
        let events = self.splitter.push(data);
        self.pace.on_events(now, self.splitter.pushed_events());
        self.bind_to_version();
        if self.splitter.is_foreign() {
            return self.abort("its next replica sent no events that follow");
        }
        if self.splitter.is_overlong() {
            return self.abort("an event is too long");
        }
        Ok(events)
    }

    /// Binds the stream to the software version of the replica that brought its first event.
    fn bind_to_version(&mut self) {
        if self.has_begun || !self.splitter.has_event() {
            return;
        }
        let Some(stream) = &self.stream else { return };
        self.has_begun = true;
        let Origin { replica, software, .. } = &stream.origin;
        stream_origins::on_begun(&self.request.node, &self.request.head, replica, software);
        self.request.head.needs.software = Some(software.clone());
    }

    /// Whether the replica has sent its stream to the end, if it sends nothing more.
    fn is_complete(&self) -> bool {
        let has_marked_end = self.stream.as_ref().is_some_and(|stream| stream.has_marked_end);
        self.splitter.is_complete(has_marked_end)
    }

    /// Resumes the stream at another replica after its own broke off; returns whether one sends it
    /// now.
    async fn resume(&mut self) -> bool {
        let Some(stream) = self.stream.take() else { return false };
        on_crash(&self.request, &stream);
        let Origin { replica, is_remote, .. } = stream.origin.clone();
        if let Some(passing) = &stream.passing {
            passing.on_unfit();
        }
        drop(stream);
        attempt::record_replica_failure(&self.request, &replica, 1.0);
        if !is_remote {
            self.request.on_broken_connection(&replica);
        }
        if !self.request.try_take_stream_retry() {
            return false;
        }
        let last_id = self.record_resumption();
        let response = self.request.obtain_response(last_id.as_deref()).await;
        self.switch_to(response)
    }

    /// Looks for another replica that resumes the stream, while the silent one may still go on.
    ///
    /// Returns what the silent one sends if that comes first, and `None` if another replica sends
    /// the stream now or none does yet.
    async fn resume_beside(&mut self) -> Option<StreamItem> {
        self.watches_silence = false;
        let replica = self.stream.as_ref()?.origin.replica.clone();
        let tries_another = self.request.try_take_stream_retry();
        attempt::record_silence(&self.request, &replica, tries_another);
        if !tries_another {
            return None;
        }
        let last_id = self.record_resumption();
        match self.first_to_send(last_id.as_deref()).await? {
            FirstToSend::Silent(item) => {
                self.request.attempts().on_given_up();
                if matches!(item, StreamItem::Data(_) | StreamItem::End) {
                    let (id, replica) = (self.request.head.id.as_str(), replica.as_str());
                    record(&LogEvent::StreamWentOn { id, replica });
                }
                Some(item)
            }
            FirstToSend::Other { response, silent_broke } => {
                let is_resumed = self.switch_to(response);
                if is_resumed || silent_broke {
                    attempt::record_replica_failure(&self.request, &replica, 1.0);
                }
                (silent_broke && !is_resumed).then_some(StreamItem::Lost)
            }
        }
    }

    /// Reads from the silent replica and looks for another one at the same time; `None` without a
    /// stream.
    async fn first_to_send(&mut self, last_id: Option<&str>) -> Option<FirstToSend> {
        let Self { request, stream, splitter, .. } = self;
        let stream = stream.as_mut()?;
        let mut other = pin!(request.obtain_response(last_id));
        let item = tokio::select! {
            biased;
            item = stream_item::read(request, stream, false) => item,
            response = &mut other => {
                return Some(FirstToSend::Other { response, silent_broke: false });
            }
        };
        let silent_broke = match item {
            StreamItem::Broken => true,
            StreamItem::End => !splitter.is_complete(stream.has_marked_end),
            _ => false,
        };
        if silent_broke {
            on_crash(request, stream);
            if !stream.origin.is_remote {
                request.on_broken_connection(&stream.origin.replica);
            }
            return Some(FirstToSend::Other { response: other.await, silent_broke });
        }
        Some(FirstToSend::Silent(item))
    }

    /// Logs that the stream is to resume, and returns the event after which it does.
    fn record_resumption(&self) -> Option<String> {
        let last_id = self.splitter.last_id().map(str::to_owned);
        record(&LogEvent::StreamResumes { id: &self.request.head.id, after: last_id.as_deref() });
        last_id
    }

    /// Goes on with the stream of another replica; returns whether `response` is one.
    fn switch_to(&mut self, response: Result<ReplicaResponse, LocalResponse>) -> bool {
        let Ok(ReplicaResponse { body: ReplicaBody::Stream(stream), .. }) = response else {
            return false;
        };
        self.splitter.drop_partial();
        self.pace = StreamPace::default();
        self.has_event = false;
        self.watches_silence = true;
        self.stream = Some(*stream);
        true
    }

    fn abort_for_room(&mut self) -> Result<Bytes, AbortedBody> {
        self.request.node.pressure.on_room_refused(&self.request.head.id);
        self.abort("there is no room for an event")
    }

    fn abort(&mut self, reason: &str) -> Result<Bytes, AbortedBody> {
        record(&LogEvent::StreamCut { id: &self.request.head.id, reason });
        self.count_end(Outcome::Cut);
        if let Some(stream) = self.stream.take() {
            self.record_pace(&stream.origin.replica);
        }
        Err(AbortedBody)
    }

    /// Notes the replica's pace, of which its owner is told when the request's adapter is free.
    fn record_pace(&self, replica: &BackendName) {
        let Some(gap) = self.pace.event_gap() else { return };
        if let Some(known) = self.request.node.replicas().get_mut(replica) {
            known.on_stream_pace(gap);
        }
    }

    fn count_end(&self, outcome: Outcome) {
        let (metrics, kind) = (&self.request.node.metrics, self.request.route.kind);
        metrics.on_longest_pause(kind, self.longest_pause);
        metrics.on_request_end(kind, outcome);
    }

    fn finish(&mut self) {
        let Some(stream) = self.stream.take() else { return };
        self.record_pace(&stream.origin.replica);
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

/// Suspects the parts of the prompt, unless the replica went on for a while with the response.
fn on_crash(request: &ForwardedRequest, stream: &OpenStream) {
    if !stream.origin.is_remote && stream.progress.may_have_crashed() {
        let Origin { replica, started_ms, .. } = &stream.origin;
        prompt_quarantine::on_crash(request, replica, *started_ms, true);
    }
}
