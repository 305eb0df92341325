//! One call of the tool.

use super::Command;

/// One call of the tool.
#[derive(Clone, Debug)]
pub struct Config {
    /// What to do.
    pub command: Command,
    /// Whether reports are JSON.
    pub json: bool,
    /// Widest line of a table, in characters.
    pub width: usize,
}
