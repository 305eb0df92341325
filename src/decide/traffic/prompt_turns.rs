//! Long prompts at one replica, which are read one after the other.
//!
//! An engine reads prompts between the tokens of the answers in progress. Several long
//! prompts at once leave these answers without a token for too long; with a short break
//! between prompts each answer goes on. Waiting costs little: the engine would not have
//! read the prompt sooner.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::InstanceName;
use crate::names::Timestamp;

/// Tokens from which on a prompt needs a turn.
const LONG_PROMPT: u64 = 2000;
/// Tokens that may be read at the same time, unless one prompt has more.
const MAX_TOKENS: u64 = 10_000;
/// Time after which a turn ends, also if nobody says so.
const TURN_TIME: Duration = Duration::from_millis(1500);

/// Names one prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnId {
    /// The instance that sends it.
    pub user: InstanceName,
    /// Its number there.
    pub serial: u64,
}

#[derive(Clone, Debug)]
struct Turn {
    ticket: TurnId,
    tokens: u64,
    since: Timestamp,
}

/// Long prompts at one replica.
#[derive(Clone, Debug, Default)]
pub struct PromptTurns {
    reading: Vec<Turn>,
    waiting: VecDeque<TurnId>,
}

impl PromptTurns {
    /// Whether a prompt of which this many tokens have to be read needs a turn.
    pub fn is_needed(tokens: u64) -> bool {
        tokens >= LONG_PROMPT
    }

    /// Asks for a turn; those that asked before go first.
    pub fn ask(&mut self, now: Timestamp, ticket: &TurnId, tokens: u64) -> bool {
        self.reading.retain(|turn| now.since(turn.since) < TURN_TIME);
        if !self.waiting.contains(ticket) {
            self.waiting.push_back(ticket.clone());
        }
        let read: u64 = self.reading.iter().map(|turn| turn.tokens).sum();
        let fits = self.reading.is_empty() || read + tokens <= MAX_TOKENS;
        if !fits || self.waiting.front() != Some(ticket) {
            return false;
        }
        self.waiting.pop_front();
        self.reading.push(Turn { ticket: ticket.clone(), tokens, since: now });
        true
    }

    /// Ends a turn, or the wait for it.
    pub fn end(&mut self, ticket: &TurnId) {
        self.waiting.retain(|waiting| waiting != ticket);
        self.reading.retain(|turn| turn.ticket != *ticket);
    }
}
