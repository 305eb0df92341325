//! `tamarackleadd`, the daemon: one process is one entry instance.

mod app;
mod clap_app;

use std::process::ExitCode;

use app::Args;
use tamaracklead::daemon;
use tamaracklead::decide::drain::DrainEnd;
use tamaracklead::error::Result;
use tamaracklead::settings::Settings;
use tamaracklead::telemetry;

/// Exit code if the settings have faults.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code if the instance failed to start or run.
const EXIT_FAILED: u8 = 1;
/// Exit code after a shutdown that aborted requests, at its limit or by a second signal.
const EXIT_REQUESTS_ABORTED: u8 = 3;

fn main() -> ExitCode {
    let args = Args::from_matches(&clap_app::build_app().get_matches());
    let settings = match Settings::load(&args.settings_path) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{}: {fault}", args.settings_path.display());
            }
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check_only {
        println!("{}: no faults", args.settings_path.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(DrainEnd::Finished) => ExitCode::SUCCESS,
        Ok(DrainEnd::Interrupted(_) | DrainEnd::LimitReached(_)) => {
            ExitCode::from(EXIT_REQUESTS_ABORTED)
        }
        Err(error) => {
            eprintln!("tamarackleadd: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(settings: Settings) -> Result<DrainEnd> {
    telemetry::start_log(settings.telemetry.log_level)?;
    daemon::run(settings)
}
