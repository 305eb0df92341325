//! The last part of a completion at its entry instance: the answer, checked and passed on.

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

/// Pieces of one answer that may be in memory at once.
const PIECE_QUEUE: usize = 64;

/// A completion whose engine has begun.
#[derive(Debug)]
pub struct CompletionAnswer {
    /// Identifier of the request.
    pub id: RequestId,
    /// Adapter that must answer.
    pub adapter: AdapterRef,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// Events from the owner.
    pub rx: mpsc::Receiver<DispatchEvent>,
    /// Whether a token has arrived.
    pub has_token: bool,
    /// Span of the completion.
    pub span: Span,
}

/// What one event of the owner is to the caller.
enum Part {
    Token(String),
    End(u32),
}

impl CompletionAnswer {
    /// Waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Every error kind that an answer can end with after it has begun.
    pub async fn whole(mut self, node: &Node) -> Result<Reply> {
        let mut text = String::new();
        loop {
            match self.next_part(node).await? {
                Part::Token(token) => text.push_str(&token),
                Part::End(tokens) => return Ok(Reply::json(200, &self.completion(text, tokens))),
            }
        }
    }

    /// Passes the answer on as it comes.
    pub fn stream(self, node: &Arc<Node>, guard: InFlightGuard) -> Reply {
        let (tx, rx) = mpsc::channel(PIECE_QUEUE);
        let node = Arc::clone(node);
        tokio::spawn(async move {
            let _guard = guard;
            self.pump(&node, tx).await;
        });
        Reply::event_stream(rx)
    }

    async fn pump(mut self, node: &Node, tx: mpsc::Sender<Bytes>) {
        loop {
            let (piece, last) = match self.next_part(node).await {
                Ok(Part::Token(text)) => {
                    (sse::encode_event(None, &CompletionChunk { id: self.id, text }), false)
                }
                Ok(Part::End(tokens)) => {
                    let done = self.completion(String::new(), tokens);
                    (sse::encode_event(Some("done"), &done), true)
                }
                Err(error) => {
                    node.metrics.count_error(error.kind);
                    (sse::encode_event(Some("error"), &Problem::from(&error)), true)
                }
            };
            let Ok(piece) = piece else { return };
            if tx.send(piece).await.is_err() || last {
                return;
            }
        }
    }

    async fn next_part(&mut self, node: &Node) -> Result<Part> {
        let part = self.receive().await.inspect_err(|error| self.span.fail(error))?;
        let span = node.now().since(self.arrived);
        match &part {
            Part::Token(_) if !self.has_token => {
                self.has_token = true;
                node.metrics.time(Timing::FirstToken, span);
            }
            Part::Token(_) => {}
            Part::End(_) => {
                node.metrics.count(Counter::CompletionAnswered);
                node.metrics.time(Timing::Completion, span);
            }
        }
        Ok(part)
    }

    async fn receive(&mut self) -> Result<Part> {
        match self.rx.recv().await {
            Some(DispatchEvent::Token { text }) => Ok(Part::Token(text)),
            Some(DispatchEvent::Done { adapter, tokens }) if adapter == self.adapter => {
                Ok(Part::End(tokens))
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

/// The error of an answer that another adapter or version gave.
pub fn wrong_answer(expected: &AdapterRef) -> Error {
    Error::new(ErrorKind::WrongAnswer, format!("the engine did not answer as {expected}"))
}
