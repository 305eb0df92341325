//! `tamaracklead preset diff PATH FROM TO`: changes and cost of a preset switch.

use std::fmt;
use std::io;
use std::path::Path;

use super::Endpoints;
use super::Exit;
use super::Failure;
use super::Table;
use super::config_dir::ConfigDir;
use super::instance_client::InstanceClient;
use super::output::Output;
use super::status::FLEET_PATH;
use crate::decide::audit::ConfigDraft;
use crate::decide::audit::FleetSlots;
use crate::decide::audit::PresetDiff;
use crate::decide::audit::StoreBudget;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::names::PresetName;
use crate::wire::operator::FleetStatus;

/// Compares two presets and writes the changes, evictions and store time of a switch.
pub(super) async fn run(
    path: &Path,
    from: &PresetName,
    to: &PresetName,
    store: &StoreBudget,
    endpoints: Option<&Endpoints>,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let dir = ConfigDir::read(path)?;
    let draft = ConfigDraft::check(&dir.root, &dir.pages, &[]).map_err(|findings| {
        let detail = findings.first().map(ToString::to_string).unwrap_or_default();
        Failure::new(Exit::Usage, Error::new(ErrorKind::ConfigRefused, detail))
    })?;
    let slots = match endpoints {
        Some(endpoints) => Some(fleet_slots(endpoints).await?),
        None => None,
    };
    let diff = PresetDiff::between(&draft, from, to, store, slots.as_ref())
        .map_err(|error| Failure::new(Exit::Usage, error))?;
    output.write_report(&diff, write_text)?;
    Ok(Exit::Success)
}

async fn fleet_slots(endpoints: &Endpoints) -> Result<FleetSlots, Failure> {
    let fleet: FleetStatus = InstanceClient::new(endpoints)?.get_json(FLEET_PATH).await?;
    Ok(FleetSlots::of(&fleet))
}

fn write_text(diff: &PresetDiff, output: &mut Output<'_>) -> io::Result<()> {
    let mut table = Table::new(&["CHANGE", "WHAT", "FROM", "TO"]);
    let mut row = |change: &str, what: String, from: String, to: String| {
        table.push_row(vec![change.to_owned(), what, from, to]);
    };
    for adapter in &diff.loads {
        row("load", adapter.to_string(), String::new(), "pinned".to_owned());
    }
    for adapter in &diff.loaded {
        row("pin", adapter.to_string(), "loaded".to_owned(), "pinned".to_owned());
    }
    for adapter in &diff.unpins {
        row("unpin", adapter.to_string(), "pinned".to_owned(), String::new());
    }
    for (adapter, change) in &diff.priorities {
        row("priority", adapter.to_string(), or_dash(change.from), or_dash(change.to));
    }
    if let Some(change) = &diff.stall_weight {
        row("stall_weight", String::new(), change.from.to_string(), change.to.to_string());
    }
    if let Some(change) = &diff.accepting {
        row("accepting", String::new(), change.from.to_string(), change.to.to_string());
    }
    output.write_table(&table)?;
    let (loads, unpins, keeps) = (diff.loads.len(), diff.unpins.len(), diff.keeps.len());
    output.write_line(format!(
        "{} -> {}: {loads} to load, {unpins} may be evicted, {keeps} stay pinned",
        diff.from, diff.to
    ))?;
    if let Some(evictions) = diff.evictions {
        output
            .write_line(format!("at least {evictions} evictions, by the slots of owned engines"))?;
    }
    let seconds = diff.store_time_ms as f64 / 1000.0;
    output.write_line(format!(
        "store time at least {seconds:.2} s, one replica each, nothing else loading"
    ))
}

fn or_dash<T: fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
