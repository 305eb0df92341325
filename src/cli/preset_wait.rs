//! `tamaracklead preset wait GENERATION`.

use std::io;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use super::Access;
use super::Exit;
use super::Failure;
use super::Table;
use super::instances::Instances;
use super::report::Output;
use super::status::FLEET_PATH;
use crate::decide::convergence::Convergence;
use crate::names::Generation;
use crate::wire::operator::FleetStatus;

/// Time between two questions to the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until a generation is in effect everywhere, and shows who is behind.
pub(super) async fn run(
    generation: Generation,
    limit: Duration,
    access: &Access,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let instances = Instances::new(access)?;
    let until = Instant::now() + limit;
    loop {
        let fleet: FleetStatus = instances.get(FLEET_PATH).await?;
        let convergence = Convergence::of(generation, &fleet.members);
        if convergence.is_complete() || Instant::now() >= until {
            output.report(&convergence, show)?;
            let complete = convergence.is_complete();
            return Ok(if complete { Exit::Success } else { Exit::Found });
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn show(convergence: &Convergence, output: &mut Output<'_>) -> io::Result<()> {
    let wanted = convergence.wanted;
    let in_effect = convergence.in_effect.len();
    let all = in_effect + convergence.behind.len();
    if convergence.is_complete() {
        return output.line(format!("generation {wanted} is in effect at all {all} instances"));
    }
    let mut table = Table::new(&["BEHIND", "REASON"]);
    for behind in &convergence.behind {
        table.row(vec![behind.instance.to_string(), behind.reason.clone()]);
    }
    output.table(&table)?;
    output.line(format!("generation {wanted} is in effect at {in_effect} of {all} instances"))
}
