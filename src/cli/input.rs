//! Prompts, bodies and logs, and where they are read from.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use super::Failure;

const STDIN_NAME: &str = "standard input";

/// Source of a prompt, a body or a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Standard input.
    Stdin,
    /// File at this path.
    File(PathBuf),
    /// Text given on the command line.
    Text(String),
}

impl Input {
    /// Name in messages, and of the instance in logs without prefixes.
    pub(super) fn name(&self) -> String {
        match self {
            Self::Stdin => STDIN_NAME.to_owned(),
            Self::File(path) => path.display().to_string(),
            Self::Text(_) => "command line".to_owned(),
        }
    }

    /// Reads the whole text.
    pub(super) fn read(&self) -> Result<String, Failure> {
        match self {
            Self::Text(text) => Ok(text.clone()),
            Self::File(path) => fs::read_to_string(path).map_err(|e| Failure::unreadable(path, &e)),
            Self::Stdin => io::read_to_string(io::stdin())
                .map_err(|e| Failure::unreadable(Path::new(STDIN_NAME), &e)),
        }
    }
}
