//! Commands of `tamaracklead`, the command-line tool for operators and callers.
//!
//! `src/bin/tamaracklead` parses the command line into one [`Invocation`]; [`run`] executes
//! its [`Command`] and returns the exit code. A command builds one report, which is written
//! as text or, with `--json`, as JSON.

mod ask;
mod command;
mod config_check;
mod config_dir;
mod endpoints;
mod exit;
mod explain;
mod explain_log;
mod failure;
mod input;
mod instance_client;
mod invocation;
mod outcome;
mod output;
mod preset_diff;
mod preset_wait;
mod relay_logs;
mod settings_check;
mod status;
mod submit;
mod table;

use std::future::Future;
use std::io::Write;

pub use command::Command;
pub use endpoints::Endpoints;
pub use exit::Exit;
pub use failure::Failure;
pub use input::Input;
pub use invocation::Invocation;
use output::Output;
pub use relay_logs::LogStep;
pub use relay_logs::RelayLogs;
pub use relay_logs::Subject;
pub use table::Table;
use tokio::runtime::Builder;

use crate::error::Error;
use crate::error::ErrorKind;

/// Runs one command; reports are written to `out`, failures and tickets to `err`.
pub fn run(invocation: &Invocation, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let mut output = Output::new(out, invocation.json, invocation.width);
    let result = match &invocation.command {
        Command::SettingsCheck { file } => settings_check::run(file, &mut output),
        Command::ConfigCheck { path, slots } => config_check::run(path, slots, &mut output),
        Command::PresetDiff { path, from, to, store, endpoints } => {
            block_on(preset_diff::run(path, from, to, store, endpoints.as_ref(), &mut output))
        }
        Command::PresetWait { generation, limit, endpoints } => {
            block_on(preset_wait::run(*generation, *limit, endpoints, &mut output))
        }
        Command::Status { endpoints } => block_on(status::run(endpoints, &mut output)),
        Command::Explain { request_id, endpoints } => {
            block_on(explain::run(*request_id, endpoints, &mut output))
        }
        Command::ExplainLog { request, logs } => explain_log::run(request, logs, &mut output),
        Command::Ask { request, prompt, endpoints } => {
            block_on(ask::run(request, prompt, endpoints, &mut output))
        }
        Command::Submit { body, attempts, endpoints } => {
            block_on(submit::run(body, *attempts, endpoints, &mut output, err))
        }
        Command::Outcome { ticket, endpoints } => {
            block_on(outcome::run(ticket, endpoints, &mut output))
        }
        Command::Completions { script } => {
            output.write_bytes(script).map(|()| Exit::Success).map_err(Failure::from)
        }
    };
    match result {
        Ok(exit) => exit,
        Err(failure) => {
            let shown = if invocation.json {
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

/// Runs an async command on a single-threaded runtime.
fn block_on(command: impl Future<Output = Result<Exit, Failure>>) -> Result<Exit, Failure> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|e| {
        let error = Error::new(ErrorKind::Internal, format!("async runtime can't be started: {e}"));
        Failure::new(Exit::Failed, error)
    })?;
    runtime.block_on(command)
}
