//! Reads a caller's text or body.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use super::Failure;

const STDIN_NAME: &str = "standard input";

/// Where a caller's text or body comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Standard input.
    Stdin,
    /// A file.
    File(PathBuf),
    /// The command line.
    Text(String),
}

impl Input {
    /// Its name for messages.
    pub(super) fn name(&self) -> String {
        match self {
            Self::Stdin => STDIN_NAME.to_owned(),
            Self::File(path) => path.display().to_string(),
            Self::Text(_) => "command line".to_owned(),
        }
    }

    /// Reads all of it.
    pub(super) fn read(&self) -> Result<String, Failure> {
        match self {
            Self::Text(text) => Ok(text.clone()),
            Self::File(path) => fs::read_to_string(path).map_err(|e| Failure::unreadable(path, &e)),
            Self::Stdin => io::read_to_string(io::stdin())
                .map_err(|e| Failure::unreadable(Path::new(STDIN_NAME), &e)),
        }
    }
}
