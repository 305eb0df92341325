//! Reads a caller's text or body.

use std::fs;
use std::io;
use std::path::Path;

use super::Failure;
use super::Input;

const STDIN_NAME: &str = "standard input";

impl Input {
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
