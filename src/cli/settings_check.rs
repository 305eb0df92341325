//! `tamaracklead settings check FILE`: validation of a settings file.

use std::path::Path;

use serde::Serialize;

use super::Exit;
use super::Failure;
use super::output::Output;
use crate::settings::Fault;
use crate::settings::Settings;

#[derive(Serialize)]
struct SettingsReport {
    faults: Vec<Fault>,
}

/// Checks a settings file and writes every fault.
pub(super) fn run(file: &Path, output: &mut Output<'_>) -> Result<Exit, Failure> {
    let faults = Settings::load(file).err().unwrap_or_default();
    output.write_report(&SettingsReport { faults: faults.clone() }, |report, output| {
        if report.faults.is_empty() {
            return output.write_line(format!("{}: no faults", file.display()));
        }
        report.faults.iter().try_for_each(|fault| output.write_line(fault.to_string()))
    })?;
    Ok(if faults.is_empty() { Exit::Success } else { Exit::ConditionNotMet })
}
