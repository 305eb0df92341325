//! Logger of the process: one line for each change of state, on standard error.

use std::io;

use log::LevelFilter;
use simplelog::ConfigBuilder;
use simplelog::WriteLogger;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::settings::LogLevel;

/// Installs the process's logger; lines carry the time in UTC.
///
/// # Errors
///
/// `Internal` if a logger is installed already.
pub fn start_log(level: LogLevel) -> Result<()> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str(env!("CARGO_CRATE_NAME"))
        .build();
    WriteLogger::init(level_filter(level), config, io::stderr())
        .map_err(|e| Error::new(ErrorKind::Internal, format!("logger can't be installed: {e}")))
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
