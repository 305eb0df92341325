//! `tamaracklead settings check FILE`.

use std::path::Path;

use serde::Serialize;

use super::Exit;
use super::Failure;
use super::report::Output;
use crate::settings::Fault;
use crate::settings::Settings;

#[derive(Serialize)]
struct Report {
    faults: Vec<Fault>,
}

/// Checks a settings file and shows every fault.
pub(super) fn run(file: &Path, output: &mut Output<'_>) -> Result<Exit, Failure> {
    let faults = Settings::load(file).err().unwrap_or_default();
    output.report(&Report { faults: faults.clone() }, |report, output| {
        if report.faults.is_empty() {
            return output.line(format!("{}: no faults", file.display()));
        }
        report.faults.iter().try_for_each(|fault| output.line(fault.to_string()))
    })?;
    Ok(if faults.is_empty() { Exit::Success } else { Exit::Found })
}
