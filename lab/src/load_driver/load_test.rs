//! `lab load`: sends a workload's arrivals to a fleet with the sizes of a deployment.

use std::io::IsTerminal;
use std::io::stderr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use tamaracklead::names::Timestamp;
use tokio::task::JoinSet;

use super::load_report::LoadReport;
use super::request;
use crate::caller::CompletionSpec;
use crate::fleet::Fleet;
use crate::fleet::FleetPlan;
use crate::workloads::Arrival;
use crate::workloads::Deployment;
use crate::workloads::Scenario;
use crate::workloads::Workload;

/// Time between tokens of a stand-in engine that runs one request, in milliseconds.
const TOKEN_MS: u64 = 20;
/// Interval of the progress line on a terminal.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Parameters of `lab load`.
#[derive(Clone, Copy, Debug)]
pub struct LoadTestPlan {
    /// Deployment whose sizes the fleet has.
    pub deployment: Deployment,
    /// Scenario of the arrivals; its fleet events aren't replayed.
    pub scenario: Scenario,
    /// Duration of the run; later arrivals of the workload are left out.
    pub length: Duration,
    /// Number of entry instances.
    pub entries: usize,
    /// Seed of the workload.
    pub seed: u64,
}

/// Starts the fleet, sends every arrival at its time and waits for the responses.
///
/// # Errors
///
/// What failed; a failed request is part of the report instead.
pub async fn run(bin_dir: &Path, plan: LoadTestPlan) -> Result<LoadReport, String> {
    let workload = Workload::generate(&plan.deployment, plan.scenario, plan.seed);
    let fleet = Fleet::start(bin_dir, fleet_plan(&plan)).await?;
    let start = Instant::now();
    let end = Timestamp::ZERO + plan.length;
    let mut running = JoinSet::new();
    let mut report = LoadReport::default();
    let mut shown = start;
    for (number, arrival) in workload.arrivals.iter().take_while(|a| a.at < end).enumerate() {
        let planned = start + arrival.at.since(Timestamp::ZERO);
        tokio::time::sleep_until(planned.into()).await;
        let client = fleet.client.clone();
        let addr = fleet.entries[number % fleet.entries.len()].addr;
        let spec = completion_spec(arrival);
        running.spawn(async move { request::send_completion(&client, addr, &spec, planned).await });
        while let Some(ended) = running.try_join_next() {
            report.record(ended.map_err(|e| e.to_string())?);
        }
        if stderr().is_terminal() && shown.elapsed() >= PROGRESS_INTERVAL {
            shown = Instant::now();
            eprint!("\r{number} sent, {} running   ", running.len());
        }
    }
    while let Some(ended) = running.join_next().await {
        report.record(ended.map_err(|e| e.to_string())?);
    }
    report.loads = fleet.client.get(fleet.store.addr, "/lab/loads").await?;
    Ok(report)
}

fn fleet_plan(plan: &LoadTestPlan) -> FleetPlan {
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

fn completion_spec(arrival: &Arrival) -> CompletionSpec {
    // Published adapters are numbered from 1.
    let adapter = FleetPlan::adapter(arrival.adapter as u32 + 1);
    CompletionSpec { max_tokens: arrival.answer_tokens, ..CompletionSpec::new(adapter) }
}
