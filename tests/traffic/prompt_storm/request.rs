//! One request of the model.

use tamaracklead::decide::traffic::PromptPart;
use tamaracklead::decide::traffic::ResponseProgress;

/// A request and its current attempt.
#[derive(Debug)]
pub struct Request {
    /// Shared parts of its prompt.
    pub parts: Vec<PromptPart>,
    /// Index of the crashing part; `None` if it is sound.
    pub bad: Option<usize>,
    /// Instance that serves it.
    pub instance: usize,
    /// Process of that instance.
    pub life: u32,
    /// Time of arrival, in microseconds.
    pub arrived: u64,
    /// Attempts so far.
    pub attempt: u32,
    /// Replica and process of it that has the request.
    pub place: Option<(usize, u64)>,
    /// Progress of the response, from its head on.
    pub progress: Option<ResponseProgress>,
    /// Whether the response began at the first attempt.
    pub began_at_once: bool,
    /// Whether its instance was killed, so that its end tells nothing.
    pub is_void: bool,
}

/// What a replica sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// Head of the response.
    Head,
    /// Part of the body.
    Data,
    /// End of the response.
    End,
    /// The connection breaks.
    Break,
}
