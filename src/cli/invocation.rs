//! One invocation of the tool.

use super::Command;

/// One invocation of the tool: command and output options.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Command to run.
    pub command: Command,
    /// Whether reports are written as JSON.
    pub json: bool,
    /// Widest line of a table, in characters.
    pub width: usize,
}
