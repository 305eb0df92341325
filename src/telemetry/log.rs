//! The log, one line for each change of state, on standard error.

use std::io;

use log::LevelFilter;
use simplelog::ConfigBuilder;
use simplelog::WriteLogger;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::settings::LogLevel;

/// Starts the log of this process; lines carry the time in UTC.
///
/// # Errors
///
/// `Internal` if a log was started before.
pub fn start_log(level: LogLevel) -> Result<()> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str(env!("CARGO_CRATE_NAME"))
        .build();
    WriteLogger::init(filter(level), config, io::stderr())
        .map_err(|e| Error::new(ErrorKind::Internal, format!("log can't be started: {e}")))
}

fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
