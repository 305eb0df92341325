//! `tamaracklead status`: instances, owned engines, slots and queues of the fleet.

use std::io;

use super::Endpoints;
use super::Exit;
use super::Failure;
use super::Table;
use super::instance_client::InstanceClient;
use super::output::Output;
use crate::wire::operator::FleetMember;
use crate::wire::operator::FleetStatus;
use crate::wire::operator::Status;

/// Operator route that returns the state of the whole fleet.
pub(super) const FLEET_PATH: &str = "/operator/v1/fleet";

/// Writes one table of instances and one of engines.
pub(super) async fn run(endpoints: &Endpoints, output: &mut Output<'_>) -> Result<Exit, Failure> {
    let fleet: FleetStatus = InstanceClient::new(endpoints)?.get_json(FLEET_PATH).await?;
    output.write_report(&fleet, write_text)?;
    Ok(Exit::Success)
}

fn write_text(fleet: &FleetStatus, output: &mut Output<'_>) -> io::Result<()> {
    output.write_table(&instance_table(fleet))?;
    output.write_line("")?;
    output.write_table(&engine_table(fleet))
}

fn instance_table(fleet: &FleetStatus) -> Table {
    let mut table = Table::new(&["INSTANCE", "DATA CENTRE", "STATE", "GEN", "PRESET", "ENGINES"]);
    for member in &fleet.members {
        let name = member.instance.to_string();
        table.push_row(match &member.status {
            Some(status) => vec![
                name,
                status.data_centre.to_string(),
                state_label(member, status).to_owned(),
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

fn state_label(member: &FleetMember, status: &Status) -> &'static str {
    if status.draining {
        return "draining";
    }
    if member.leaving { "leaving" } else { "live" }
}

fn engine_table(fleet: &FleetStatus) -> Table {
    let mut table = Table::new(&["ENGINE", "OWNER", "SLOTS", "BATCH", "WAITING", "LOADED"]);
    for member in &fleet.members {
        for engine in member.status.iter().flat_map(|status| &status.engines) {
            let loaded: Vec<_> = engine.loaded.iter().map(ToString::to_string).collect();
            table.push_row(vec![
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
