//! `tamaracklead config check PATH`: validation of a configuration before it is published.

use std::path::Path;

use serde::Serialize;

use super::Exit;
use super::Failure;
use super::config_dir::ConfigDir;
use super::output::Output;
use crate::decide::audit::ConfigDraft;
use crate::decide::audit::Finding;
use crate::decide::audit::SlotBudget;
use crate::names::Generation;
use crate::names::PresetName;

#[derive(Serialize)]
struct ConfigReport {
    generation: Option<Generation>,
    preset: Option<PresetName>,
    adapters: usize,
    findings: Vec<Finding>,
}

impl ConfigReport {
    fn of(checked: Result<ConfigDraft, Vec<Finding>>) -> Self {
        match checked {
            Ok(draft) => Self {
                generation: Some(draft.root().generation),
                preset: Some(draft.root().preset.clone()),
                adapters: draft.adapters().len(),
                findings: draft.findings().to_vec(),
            },
            Err(findings) => Self { generation: None, preset: None, adapters: 0, findings },
        }
    }

    fn write_text(&self, output: &mut Output<'_>) -> std::io::Result<()> {
        self.findings.iter().try_for_each(|finding| output.write_line(finding.to_string()))?;
        if let (Some(generation), Some(preset)) = (self.generation, &self.preset) {
            let adapters = self.adapters;
            output.write_line(format!(
                "generation {generation}, preset {preset}, {adapters} adapters"
            ))?;
        }
        output.write_line(match self.findings.len() {
            0 => "no findings".to_owned(),
            1 => "1 finding".to_owned(),
            count => format!("{count} findings"),
        })
    }
}

/// Checks a configuration and writes every finding.
pub(super) fn run(
    path: &Path,
    slots: &[SlotBudget],
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let dir = ConfigDir::read(path)?;
    let report = ConfigReport::of(ConfigDraft::check(&dir.root, &dir.pages, slots));
    output.write_report(&report, ConfigReport::write_text)?;
    Ok(if report.findings.is_empty() { Exit::Success } else { Exit::ConditionNotMet })
}
