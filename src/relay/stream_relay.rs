//! A stream on its way from a replica to a caller.
//!
//! Whole events are passed on as they come. If the replica breaks off, another one
//! goes on after the last event, where the route allows it.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;

use super::answer::AnswerBody;
use super::answer::BrokenBody;
use super::attempt;
use super::attempt::OpenStream;
use super::attempt::ReplicaBody;
use super::event::LogEvent;
use super::event::record;
use super::job::Job;
use super::metrics::Outcome;
use crate::decide::traffic::EventSplitter;
use crate::names::BackendName;
use crate::names::Timestamp;

/// A stream on its way from a replica to a caller.
pub struct StreamRelay {
    job: Job,
    stream: Option<OpenStream>,
    splitter: EventSplitter,
    has_event: bool,
    last_data: Timestamp,
    longest_pause: Duration,
}

/// What came from the replica.
enum Piece {
    Data(Bytes),
    End,
    Broken,
    TimedOut,
}

impl StreamRelay {
    /// A stream whose head has come.
    pub fn new(job: Job, stream: OpenStream, resume_after: Option<String>) -> Self {
        let splitter = EventSplitter::new(resume_after);
        let last_data = job.node.now();
        let longest_pause = Duration::ZERO;
        let stream = Some(stream);
        Self { job, stream, splitter, has_event: false, last_data, longest_pause }
    }

    /// The stream as an answer's body.
    pub fn into_body(self) -> AnswerBody {
        let frames = stream::unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next.map(Frame::data), relay))
        });
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }

    async fn next(&mut self) -> Option<Result<Bytes, BrokenBody>> {
        loop {
            let stream = self.stream.as_mut()?;
            match read(&self.job, stream).await {
                Piece::Data(data) => {
                    stream.in_flight.on_heard();
                    let now = self.job.node.now();
                    self.longest_pause = self.longest_pause.max(now.since(self.last_data));
                    self.last_data = now;
                    if !self.has_event {
                        self.has_event = true;
                        stream.in_flight.on_event();
                    }
                    let events = self.splitter.push(&data);
                    if self.splitter.is_overlong() {
                        return Some(self.break_off("an event is too long"));
                    }
                    if !events.is_empty() {
                        return Some(Ok(events));
                    }
                }
                Piece::End if !self.splitter.has_partial() => {
                    self.finish();
                    return None;
                }
                Piece::End | Piece::Broken => {
                    if !self.resume().await {
                        return Some(self.break_off("its replica broke off"));
                    }
                }
                Piece::TimedOut => return Some(self.break_off("its time is over")),
            }
        }
    }

    /// Goes on at another replica; returns whether one took it.
    async fn resume(&mut self) -> bool {
        let Some(stream) = self.stream.take() else { return false };
        let replica = stream.origin.replica.clone();
        drop(stream);
        attempt::fail(&self.job, &replica, 1.0);
        self.job.on_broken(&replica);
        if !self.job.may_resume() {
            return false;
        }
        self.splitter.drop_partial();
        let last_id = self.splitter.last_id().map(str::to_owned);
        record(&LogEvent::StreamResumes { id: &self.job.call.id, after: last_id.as_deref() });
        let Ok(answer) = self.job.answer(last_id.as_deref()).await else { return false };
        let ReplicaBody::Stream(stream) = answer.body else { return false };
        self.has_event = false;
        self.stream = Some(*stream);
        true
    }

    fn break_off(&mut self, reason: &str) -> Result<Bytes, BrokenBody> {
        record(&LogEvent::StreamCut { id: &self.job.call.id, reason });
        self.count(Outcome::Cut);
        self.stream = None;
        Err(BrokenBody)
    }

    fn count(&self, outcome: Outcome) {
        let (metrics, kind) = (&self.job.node.metrics, self.job.route.kind);
        metrics.on_longest_pause(kind, self.longest_pause);
        metrics.on_end(kind, outcome);
    }

    fn finish(&mut self) {
        let Some(stream) = self.stream.take() else { return };
        self.count(Outcome::Answered);
        let OpenStream { origin, connection, in_flight, .. } = stream;
        drop(in_flight);
        if let Some(limit) = origin.keeps {
            let node = &self.job.node;
            node.upstream.keep(node.now(), &origin.replica, origin.addr, connection, Some(limit));
        }
    }
}

fn broke(job: &Job, replica: &BackendName, detail: &str) {
    record(&LogEvent::StreamBroke { id: &job.call.id, replica: replica.as_str(), detail });
}

async fn read(job: &Job, stream: &mut OpenStream) -> Piece {
    let replica = &stream.origin.replica;
    let frame = tokio::select! {
        frame = stream.source.frame() => frame,
        () = job.deadline() => return Piece::TimedOut,
        () = job.muteness(replica) => {
            broke(job, replica, "silent");
            return Piece::Broken;
        }
    };
    match frame {
        None => Piece::End,
        Some(Err(e)) => {
            broke(job, &stream.origin.replica, &e.to_string());
            Piece::Broken
        }
        Some(Ok(frame)) => Piece::Data(frame.into_data().unwrap_or_default()),
    }
}
