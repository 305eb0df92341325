//! Arguments of the daemon.

use std::path::PathBuf;

use clap::ArgMatches;

/// Arguments of the daemon.
#[derive(Clone, Debug)]
pub struct Args {
    /// Path of the settings file.
    pub settings_path: PathBuf,
    /// Whether to exit after checking the settings.
    pub check_only: bool,
}

impl Args {
    /// Converts matches of [`crate::clap_app::build_app`].
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let settings_path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
        Self { settings_path, check_only: matches.get_flag("check") }
    }
}
