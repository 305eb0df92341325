//! `tamaracklead preset wait GENERATION`: polls the fleet until a generation is in effect.

use std::io;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use super::Endpoints;
use super::Exit;
use super::Failure;
use super::Table;
use super::instance_client::InstanceClient;
use super::output::Output;
use super::status::FLEET_PATH;
use crate::decide::convergence::Convergence;
use crate::names::Generation;
use crate::wire::operator::FleetStatus;

/// Pause between two status requests to the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls until a generation is in effect at every instance or the limit is reached.
///
/// The last state is written either way, with the instances that are behind.
pub(super) async fn run(
    generation: Generation,
    limit: Duration,
    endpoints: &Endpoints,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let client = InstanceClient::new(endpoints)?;
    let give_up_at = Instant::now() + limit;
    loop {
        let fleet: FleetStatus = client.get_json(FLEET_PATH).await?;
        let convergence = Convergence::of(generation, &fleet.members);
        if convergence.is_complete() || Instant::now() >= give_up_at {
            output.write_report(&convergence, write_text)?;
            let complete = convergence.is_complete();
            return Ok(if complete { Exit::Success } else { Exit::ConditionNotMet });
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn write_text(convergence: &Convergence, output: &mut Output<'_>) -> io::Result<()> {
    let wanted = convergence.wanted;
    let in_effect = convergence.in_effect.len();
    let total = in_effect + convergence.behind.len();
    if convergence.is_complete() {
        return output
            .write_line(format!("generation {wanted} is in effect at all {total} instances"));
    }
    let mut table = Table::new(&["BEHIND", "REASON"]);
    for behind in &convergence.behind {
        table.push_row(vec![behind.instance.to_string(), behind.reason.clone()]);
    }
    output.write_table(&table)?;
    output
        .write_line(format!("generation {wanted} is in effect at {in_effect} of {total} instances"))
}
