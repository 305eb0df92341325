//! `tamaracklead status`.

use std::io;

use super::Access;
use super::Exit;
use super::Failure;
use super::Table;
use super::instances::Instances;
use super::report::Output;
use crate::wire::operator::FleetMember;
use crate::wire::operator::FleetStatus;
use crate::wire::operator::Status;

/// Operator route that gives the state of the whole fleet.
pub(super) const FLEET_PATH: &str = "/operator/v1/fleet";

/// Shows instances, owned engines, slots and queues.
pub(super) async fn run(access: &Access, output: &mut Output<'_>) -> Result<Exit, Failure> {
    let fleet: FleetStatus = Instances::new(access)?.get(FLEET_PATH).await?;
    output.report(&fleet, show)?;
    Ok(Exit::Success)
}

fn show(fleet: &FleetStatus, output: &mut Output<'_>) -> io::Result<()> {
    output.table(&instances(fleet))?;
    output.line("")?;
    output.table(&engines(fleet))
}

fn instances(fleet: &FleetStatus) -> Table {
    let mut table = Table::new(&["INSTANCE", "DATA CENTRE", "STATE", "GEN", "PRESET", "ENGINES"]);
    for member in &fleet.members {
        let name = member.instance.to_string();
        table.row(match &member.status {
            Some(status) => vec![
                name,
                status.data_centre.to_string(),
                state(member, status).to_owned(),
                or_dash(status.generation.as_ref()),
                or_dash(status.preset.as_ref()),
                status.engines.len().to_string(),
            ],
            None => {
                let cause = member.error.as_deref().unwrap_or("no answer");
                vec![name, "-".to_owned(), format!("silent: {cause}")]
            }
        });
    }
    table
}

fn state(member: &FleetMember, status: &Status) -> &'static str {
    if status.draining {
        return "draining";
    }
    if member.leaving { "leaving" } else { "live" }
}

fn engines(fleet: &FleetStatus) -> Table {
    let mut table = Table::new(&["ENGINE", "OWNER", "SLOTS", "BATCH", "WAITING", "LOADED"]);
    for member in &fleet.members {
        for engine in member.status.iter().flat_map(|status| &status.engines) {
            let loaded: Vec<_> = engine.loaded.iter().map(ToString::to_string).collect();
            table.row(vec![
                engine.engine.to_string(),
                member.instance.to_string(),
                format!("{}/{}", engine.loaded.len(), engine.slots),
                format!("{}/{}", engine.running, engine.batch),
                engine.waiting.to_string(),
                loaded.join(" "),
            ]);
        }
    }
    table
}

fn or_dash<T: ToString>(value: Option<&T>) -> String {
    value.map_or_else(|| "-".to_owned(), ToString::to_string)
}
