//! What the command line asks for.

use std::path::PathBuf;

use crate::decide::audit::SlotBudget;
use crate::decide::audit::StoreBudget;
use crate::names::PresetName;

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

/// What to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Checks a settings file.
    SettingsCheck {
        /// The file.
        file: PathBuf,
    },
    /// Checks a configuration before it is published.
    ConfigCheck {
        /// Directory of `root.json` and `pages/`, or the root's own path.
        path: PathBuf,
        /// Slots of base models, where pinned adapters are to fit.
        slots: Vec<SlotBudget>,
    },
    /// Compares two presets.
    PresetDiff {
        /// As for `ConfigCheck`.
        path: PathBuf,
        /// Preset before.
        from: PresetName,
        /// Preset after.
        to: PresetName,
        /// What the weight store can deliver.
        store: StoreBudget,
    },
}
