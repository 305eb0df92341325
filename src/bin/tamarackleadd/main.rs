//! The daemon: one entry instance.

mod app;
mod clap_app;

use std::process::ExitCode;

use app::Config;
use simplelog::ConfigBuilder;
use simplelog::LevelFilter;
use simplelog::WriteLogger;
use tamaracklead::daemon;
use tamaracklead::decide::drain::DrainEnd;
use tamaracklead::settings::Settings;

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
    start_log();
    match daemon::run(settings) {
        Ok(DrainEnd::Finished) => ExitCode::SUCCESS,
        Ok(DrainEnd::Interrupted(_) | DrainEnd::LimitReached(_)) => ExitCode::from(EXIT_CUT_OFF),
        Err(error) => {
            eprintln!("tamarackleadd: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn start_log() {
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    let started = WriteLogger::init(LevelFilter::Info, config, std::io::stderr());
    if let Err(e) = started {
        eprintln!("tamarackleadd: no log: {e}");
    }
}
