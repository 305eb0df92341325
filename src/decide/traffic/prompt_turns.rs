//! First-in first-out admission of long prompts at one replica.
//!
//! An engine reads prompts (prefill) between the tokens of the outputs in progress (decode).
//! Several long prompts at once leave these outputs without a token for too long; with a short
//! break between prompts, each output goes on. Waiting costs little, since the engine would not
//! have read the prompt sooner.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::InstanceName;
use crate::names::Timestamp;

/// Unread tokens from which on a prompt needs a turn.
const LONG_PROMPT_TOKENS: u64 = 2000;
/// Most tokens that are read at the same time; a prompt with more is read alone.
const MAX_TOKENS_READ_AT_ONCE: u64 = 10_000;
/// Time after which a turn ends even if nobody ends it.
const TURN_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which a wait ends even if nobody ends it: the longest wait, and the turn's time for a
/// prompt that was then sent without one.
const WAIT_TIMEOUT: Duration = Duration::from_millis(2100);

/// Identifies one prompt's turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnId {
    /// The instance that sends the prompt.
    pub user: InstanceName,
    /// Number of the turn, drawn by that instance.
    pub serial: u64,
}

/// A turn, or the wait for it.
#[derive(Clone, Debug)]
struct Turn {
    id: TurnId,
    tokens: u64,
    /// When the turn, or the wait, began.
    since: Timestamp,
}

/// Long prompts that one replica reads, and those that wait to be read.
#[derive(Clone, Debug, Default)]
pub struct PromptTurns {
    reading: Vec<Turn>,
    waiting: VecDeque<Turn>,
}

impl PromptTurns {
    /// Whether a prompt with this many tokens to read needs a turn.
    pub fn is_needed(tokens: u64) -> bool {
        tokens >= LONG_PROMPT_TOKENS
    }

    /// Takes a turn for a prompt with `tokens` unread tokens; returns `false` if it isn't its turn
    /// yet. The prompt then keeps its place in the queue and has to try again.
    pub fn try_take_turn(&mut self, now: Timestamp, id: &TurnId, tokens: u64) -> bool {
        self.reading.retain(|turn| is_read(now, turn));
        self.waiting.retain(|turn| is_waited_for(now, turn));
        if !self.waiting.iter().any(|waiting| waiting.id == *id) {
            self.waiting.push_back(Turn { id: id.clone(), tokens, since: now });
        }
        let at_once = sum_of_tokens(self.reading.iter()).saturating_add(tokens);
        let fits = self.reading.is_empty() || at_once <= MAX_TOKENS_READ_AT_ONCE;
        if !fits || self.waiting.front().is_none_or(|first| first.id != *id) {
            return false;
        }
        self.waiting.pop_front();
        self.reading.push(Turn { id: id.clone(), tokens, since: now });
        true
    }

    /// Tokens that are being read and that wait to be read.
    pub fn backlog_tokens(&self, now: Timestamp) -> u64 {
        let reading = self.reading.iter().filter(|turn| is_read(now, turn));
        let waiting = self.waiting.iter().filter(|turn| is_waited_for(now, turn));
        sum_of_tokens(reading.chain(waiting))
    }

    /// Ends a turn, or gives up waiting for it.
    pub fn end(&mut self, id: &TurnId) {
        self.waiting.retain(|waiting| waiting.id != *id);
        self.reading.retain(|turn| turn.id != *id);
    }
}

fn sum_of_tokens<'a>(turns: impl Iterator<Item = &'a Turn>) -> u64 {
    turns.map(|turn| turn.tokens).fold(0, u64::saturating_add)
}

fn is_read(now: Timestamp, turn: &Turn) -> bool {
    now.since(turn.since) < TURN_TIMEOUT
}

fn is_waited_for(now: Timestamp, turn: &Turn) -> bool {
    now.since(turn.since) < WAIT_TIMEOUT
}
