//! The command-line tool for operators and callers.
//!
//! `src/bin/tamaracklead` describes the command line and turns it into one
//! [`Command`]; [`run`] does the work and gives the exit code. Every command
//! builds one report, which is shown as text or, with `--json`, as JSON.

mod command;
mod config_check;
mod exit;
mod failure;
mod preset_diff;
mod published_dir;
mod report;
mod settings_check;
mod table;

pub use command::Command;
pub use command::Config;
pub use exit::Exit;
pub use failure::Failure;
pub use table::Table;

use std::io::Write;

use report::Output;

/// Runs one command; reports go to `out`, failures to `err`.
pub fn run(cfg: &Config, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let mut output = Output::new(out, cfg.json, cfg.width);
    let result = match &cfg.command {
        Command::SettingsCheck { file } => settings_check::run(file, &mut output),
        Command::ConfigCheck { path, slots } => config_check::run(path, slots, &mut output),
        Command::PresetDiff { path, from, to, store } => {
            preset_diff::run(path, from, to, store, &mut output)
        }
    };
    match result {
        Ok(exit) => exit,
        Err(failure) => {
            let shown = if cfg.json {
                writeln!(err, "{}", failure.to_json())
            } else {
                writeln!(err, "tamaracklead: {failure}")
            };
            match shown {
                Ok(()) => failure.exit,
                Err(_) => Exit::Failed,
            }
        }
    }
}
