//! The command-line tool for operators and callers.
//!
//! `src/bin/tamaracklead` describes the command line and turns it into one
//! [`Command`]; [`run`] does the work and gives the exit code. Every command
//! builds one report, which is shown as text or, with `--json`, as JSON.

mod access;
mod ask;
mod command;
mod config;
mod config_check;
mod exit;
mod explain;
mod explain_log;
mod failure;
mod input;
mod instances;
mod log_story;
mod outcome;
mod preset_diff;
mod preset_wait;
mod published_dir;
mod report;
mod settings_check;
mod status;
mod submit;
mod table;

use std::future::Future;
use std::io::Write;

pub use access::Access;
pub use command::Command;
pub use config::Config;
pub use exit::Exit;
pub use failure::Failure;
pub use input::Input;
pub use log_story::About;
pub use log_story::LogLines;
pub use log_story::LogStep;
use report::Output;
pub use table::Table;
use tokio::runtime::Builder;

use crate::error::Error;
use crate::error::ErrorKind;

/// Runs one command; reports go to `out`, failures to `err`.
pub fn run(cfg: &Config, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let mut output = Output::new(out, cfg.json, cfg.width);
    let result = match &cfg.command {
        Command::SettingsCheck { file } => settings_check::run(file, &mut output),
        Command::ConfigCheck { path, slots } => config_check::run(path, slots, &mut output),
        Command::PresetDiff { path, from, to, store, access } => {
            block_on(preset_diff::run(path, from, to, store, access.as_ref(), &mut output))
        }
        Command::PresetWait { generation, limit, access } => {
            block_on(preset_wait::run(*generation, *limit, access, &mut output))
        }
        Command::Status { access } => block_on(status::run(access, &mut output)),
        Command::Explain { request_id, access } => {
            block_on(explain::run(*request_id, access, &mut output))
        }
        Command::ExplainLog { request, logs } => explain_log::run(request, logs, &mut output),
        Command::Ask { request, prompt, access } => {
            block_on(ask::run(request, prompt, access, &mut output))
        }
        Command::Submit { body, attempts, access } => {
            block_on(submit::run(body, *attempts, access, &mut output, err))
        }
        Command::Outcome { ticket, access } => block_on(outcome::run(ticket, access, &mut output)),
        Command::Completions { script } => {
            output.bytes(script).map(|()| Exit::Success).map_err(Failure::from)
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

/// Runs a command that calls instances, on a runtime of one thread.
fn block_on(command: impl Future<Output = Result<Exit, Failure>>) -> Result<Exit, Failure> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|e| {
        let error = Error::new(ErrorKind::Internal, format!("runtime can't be started: {e}"));
        Failure::new(Exit::Failed, error)
    })?;
    runtime.block_on(command)
}
