//! Why reads fail.

use crate::names::Timestamp;

/// Longest text of a cause, in characters.
const MAX_TEXT_CHARS: usize = 240;

/// One cause for which reads fail.
#[derive(Clone, Debug)]
pub struct Cause {
    /// The text as it came last, bounded.
    pub text: String,
    /// When it came first.
    pub since: Timestamp,
    /// How often it came.
    pub count: u64,
    kind: String,
}

impl Cause {
    /// A cause that comes for the first time.
    pub fn new(now: Timestamp, text: &str) -> Self {
        let text = bounded(text);
        Self { kind: kind_of(&text), text, since: now, count: 1 }
    }

    /// Whether the other one differs only in figures.
    pub fn is_like(&self, other: &Self) -> bool {
        self.kind == other.kind
    }
}

fn bounded(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}

/// The text with `#` for each row of digits.
fn kind_of(text: &str) -> String {
    let mut kind = String::with_capacity(text.len());
    for c in text.chars() {
        if !c.is_ascii_digit() {
            kind.push(c);
        } else if !kind.ends_with('#') {
            kind.push('#');
        }
    }
    kind
}
