//! What the command line asks for.

use std::path::PathBuf;

use clap::ArgMatches;

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct Config {
    /// Settings file.
    pub settings: PathBuf,
    /// Whether to check the settings only.
    pub check: bool,
}

impl Config {
    /// Reads the matches of [`crate::clap_app::build_app`].
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let settings = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
        Self { settings, check: matches.get_flag("check") }
    }
}
