//! The daemon: one entry instance.

mod app;
mod clap_app;

use std::process::ExitCode;

use app::Config;
use tamaracklead::daemon;
use tamaracklead::decide::drain::DrainEnd;
use tamaracklead::error::Result;
use tamaracklead::settings::Settings;
use tamaracklead::telemetry;

/// Exit code after faults in the settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code after a failure to run.
const EXIT_FAILED: u8 = 1;
/// Exit code after a shutdown that cut work off.
const EXIT_CUT_OFF: u8 = 3;

fn main() -> ExitCode {
    let cfg = Config::from_matches(&clap_app::build_app().get_matches());
    let settings = match Settings::load(&cfg.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{}: {fault}", cfg.settings.display());
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if cfg.check {
        println!("{}: no faults", cfg.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(DrainEnd::Finished) => ExitCode::SUCCESS,
        Ok(DrainEnd::Interrupted(_) | DrainEnd::LimitReached(_)) => ExitCode::from(EXIT_CUT_OFF),
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
