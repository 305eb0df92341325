//! `tamaracklead config check PATH`.

use std::path::Path;

use serde::Serialize;

use super::Exit;
use super::Failure;
use super::published_dir::PublishedDir;
use super::report::Output;
use crate::decide::audit::ConfigDraft;
use crate::decide::audit::Finding;
use crate::decide::audit::SlotBudget;
use crate::names::Generation;
use crate::names::PresetName;

#[derive(Serialize)]
struct Report {
    generation: Option<Generation>,
    preset: Option<PresetName>,
    adapters: usize,
    findings: Vec<Finding>,
}

impl Report {
    fn of(checked: Result<ConfigDraft, Vec<Finding>>) -> Self {
        match checked {
            Ok(publication) => Self {
                generation: Some(publication.root().generation),
                preset: Some(publication.root().preset.clone()),
                adapters: publication.adapters().len(),
                findings: publication.findings().to_vec(),
            },
            Err(findings) => Self { generation: None, preset: None, adapters: 0, findings },
        }
    }

    fn show(&self, output: &mut Output<'_>) -> std::io::Result<()> {
        self.findings.iter().try_for_each(|finding| output.line(finding.to_string()))?;
        if let (Some(generation), Some(preset)) = (self.generation, &self.preset) {
            let adapters = self.adapters;
            output
                .line(format!("generation {generation}, preset {preset}, {adapters} adapters"))?;
        }
        output.line(match self.findings.len() {
            0 => "no findings".to_owned(),
            1 => "1 finding".to_owned(),
            count => format!("{count} findings"),
        })
    }
}

/// Checks a configuration and shows every finding.
pub(super) fn run(
    path: &Path,
    slots: &[SlotBudget],
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let dir = PublishedDir::read(path)?;
    let report = Report::of(ConfigDraft::check(&dir.root, &dir.pages, slots));
    output.report(&report, Report::show)?;
    Ok(if report.findings.is_empty() { Exit::Success } else { Exit::Found })
}
