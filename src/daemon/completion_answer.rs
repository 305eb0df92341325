//! Answer of a completion at its entry instance: checked, and returned whole or as a stream.
//!
//! Events come from the owner of the engine. The last one must name the adapter
//! and version that the request was resolved to, or the answer ends in an error.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc;

use super::Node;
use super::in_flight::InFlightGuard;
use crate::edge::Reply;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Problem;
use crate::error::Result;
use crate::names::AdapterRef;
use crate::names::RequestId;
use crate::names::Timestamp;
use crate::telemetry::Counter;
use crate::telemetry::Span;
use crate::telemetry::Timing;
use crate::wire::caller::Completion;
use crate::wire::caller::CompletionChunk;
use crate::wire::peer::DispatchEvent;
use crate::wire::sse;

/// Bound on the events of one answer that wait for a slow caller.
const MAX_QUEUED_EVENTS: usize = 64;

/// A completion that its engine has begun to answer.
#[derive(Debug)]
pub struct CompletionAnswer {
    /// Request identifier that the caller sees in the answer.
    pub id: RequestId,
    /// Adapter and version that the request was resolved to.
    pub adapter: AdapterRef,
    /// Arrival of the request at this instance; timings count from here.
    pub arrived: Timestamp,
    /// Events from the owner.
    pub rx: mpsc::Receiver<DispatchEvent>,
    /// Whether the time to the first token has been measured.
    pub has_token: bool,
    /// Trace span of the completion at its entry instance.
    pub span: Span,
}

/// What one event adds to the answer: text, or its end with the number of tokens.
enum AnswerPart {
    Token(String),
    End(u32),
}

impl CompletionAnswer {
    /// Collects the whole answer into one reply.
    ///
    /// # Errors
    ///
    /// Each error kind that an answer can end with after it has begun.
    pub async fn read_whole(mut self, node: &Node) -> Result<Reply> {
        let mut text = String::new();
        loop {
            match self.next_part(node).await? {
                AnswerPart::Token(token) => text.push_str(&token),
                AnswerPart::End(tokens) => {
                    return Ok(Reply::json(200, &self.completion(text, tokens)));
                }
            }
        }
    }

    /// Forwards the answer as server-sent events; `guard` counts it as in flight until its end.
    pub fn stream(self, node: &Arc<Node>, guard: InFlightGuard) -> Reply {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_EVENTS);
        let node = Arc::clone(node);
        tokio::spawn(async move {
            let _guard = guard;
            self.forward_events(&node, tx).await;
        });
        Reply::event_stream(rx)
    }

    async fn forward_events(mut self, node: &Node, tx: mpsc::Sender<Bytes>) {
        loop {
            let (event, last) = match self.next_part(node).await {
                Ok(AnswerPart::Token(text)) => {
                    (sse::encode_event(None, &CompletionChunk { id: self.id, text }), false)
                }
                Ok(AnswerPart::End(tokens)) => {
                    let done = self.completion(String::new(), tokens);
                    (sse::encode_event(Some("done"), &done), true)
                }
                Err(error) => {
                    node.metrics.count_error(error.kind);
                    (sse::encode_event(Some("error"), &Problem::from(&error)), true)
                }
            };
            let Ok(event) = event else { return };
            if tx.send(event).await.is_err() || last {
                return;
            }
        }
    }

    async fn next_part(&mut self, node: &Node) -> Result<AnswerPart> {
        let part = self.receive().await.inspect_err(|error| self.span.set_error(error))?;
        let elapsed = node.now().since(self.arrived);
        match &part {
            AnswerPart::Token(_) if !self.has_token => {
                self.has_token = true;
                node.metrics.record_duration(Timing::FirstToken, elapsed);
            }
            AnswerPart::Token(_) => {}
            AnswerPart::End(_) => {
                node.metrics.count(Counter::CompletionAnswered);
                node.metrics.record_duration(Timing::Completion, elapsed);
            }
        }
        Ok(part)
    }

    async fn receive(&mut self) -> Result<AnswerPart> {
        match self.rx.recv().await {
            Some(DispatchEvent::Token { text }) => Ok(AnswerPart::Token(text)),
            Some(DispatchEvent::Done { adapter, tokens }) if adapter == self.adapter => {
                Ok(AnswerPart::End(tokens))
            }
            Some(DispatchEvent::Failed { error }) => Err(error.may_have_run()),
            Some(DispatchEvent::Started { .. } | DispatchEvent::Done { .. }) => {
                Err(wrong_answer(&self.adapter))
            }
            None => Err(Error::new(ErrorKind::BackendFailed, "the answer broke off")),
        }
    }

    fn completion(&self, text: String, tokens: u32) -> Completion {
        Completion {
            id: self.id,
            adapter: self.adapter.adapter.clone(),
            version: self.adapter.version,
            text,
            tokens,
        }
    }
}

/// Error for an answer that another adapter or version gave; the answer is withheld.
pub fn wrong_answer(expected: &AdapterRef) -> Error {
    Error::new(ErrorKind::WrongAnswer, format!("the engine did not answer as {expected}"))
}
