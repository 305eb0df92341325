//! `lab load`: a workload's arrivals against a fleet of a deployment's size.

use std::io::IsTerminal;
use std::io::stderr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use tamaracklead::names::Timestamp;
use tokio::task::JoinSet;

use super::figures::Figures;
use super::request;
use crate::ask::AskedCompletion;
use crate::fleet::Fleet;
use crate::fleet::FleetPlan;
use crate::workloads::Arrival;
use crate::workloads::Deployment;
use crate::workloads::Scenario;
use crate::workloads::Workload;

/// Time between tokens of a stand-in that runs one request, in milliseconds.
const TOKEN_MS: u64 = 20;
/// How often progress is shown on a terminal.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Whose sizes.
    pub deployment: Deployment,
    /// Whose arrivals.
    pub scenario: Scenario,
    /// Length of the run.
    pub length: Duration,
    /// How many entry instances.
    pub entries: usize,
    /// Seed of the workload.
    pub seed: u64,
}

/// Starts the fleet, sends every arrival at its time and waits for the answers.
///
/// # Errors
///
/// A sentence that says what failed.
pub async fn run(bin_dir: &Path, plan: LoadPlan) -> Result<Figures, String> {
    let workload = Workload::generate(&plan.deployment, plan.scenario, plan.seed);
    let fleet = Fleet::start(bin_dir, fleet_plan(&plan)).await?;
    let start = Instant::now();
    let end = Timestamp::ZERO + plan.length;
    let mut running = JoinSet::new();
    let mut figures = Figures::default();
    let mut shown = start;
    for (number, arrival) in workload.arrivals.iter().take_while(|a| a.at < end).enumerate() {
        let planned = start + arrival.at.since(Timestamp::ZERO);
        tokio::time::sleep_until(planned.into()).await;
        let client = fleet.client.clone();
        let addr = fleet.entries[number % fleet.entries.len()].addr;
        let asked = asked(arrival);
        running.spawn(async move { request::run(&client, addr, &asked, planned).await });
        while let Some(ended) = running.try_join_next() {
            figures.record(ended.map_err(|e| e.to_string())?);
        }
        if stderr().is_terminal() && shown.elapsed() >= PROGRESS_INTERVAL {
            shown = Instant::now();
            eprint!("\r{number} sent, {} running   ", running.len());
        }
    }
    while let Some(ended) = running.join_next().await {
        figures.record(ended.map_err(|e| e.to_string())?);
    }
    figures.loads = fleet.client.get(fleet.store.addr, "/lab/loads").await?;
    Ok(figures)
}

fn fleet_plan(plan: &LoadPlan) -> FleetPlan {
    let deployment = &plan.deployment;
    let base = match *deployment == Deployment::PAMOJA {
        true => FleetPlan::pamoja(),
        false => FleetPlan::nakhla(),
    };
    FleetPlan {
        entries: plan.entries,
        engines: deployment.engines,
        slots: deployment.slots as u32,
        batch: deployment.batch as u32,
        token_ms: TOKEN_MS,
        store_rate: deployment.store_rate as u64,
        adapters: deployment.adapters as u32,
        ..base
    }
}

fn asked(arrival: &Arrival) -> AskedCompletion {
    // Published adapters are numbered from 1.
    let adapter = FleetPlan::adapter(arrival.adapter as u32 + 1);
    AskedCompletion { max_tokens: arrival.answer_tokens, ..AskedCompletion::new(adapter) }
}
