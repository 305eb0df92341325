//! `lab demo`: checks the main guarantees on a fleet of real processes under failures.
//!
//! For each deployment it checks that completions come from the right adapter
//! while an entry instance and an engine are killed, that a submission runs once,
//! that a preset switch takes effect everywhere, that a shutdown finishes its
//! streams, and that no engine unloads an adapter in use.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use nix::sys::signal::Signal;
use tamaracklead::names::Generation;

use crate::caller;
use crate::caller::CallerError;
use crate::caller::CompletionSpec;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::FleetPlan;

/// Number of adapters that get eight requests each.
const HOT_ADAPTERS: u32 = 3;
/// Number of adapters that get one request each.
const COLD_ADAPTERS: u32 = 12;
/// Attempts of a caller before it gives up.
const MAX_ATTEMPTS: usize = 10;
/// Tokens of the stream that runs while its entry instance shuts down.
const LONG_STREAM_TOKENS: u32 = 400;

/// Runs the demo for both deployments.
///
/// # Errors
///
/// The first check that failed.
pub fn run(bin_dir: &Path) -> Result<(), String> {
    let runtime = fleet::runtime()?;
    for plan in [FleetPlan::nakhla(), FleetPlan::pamoja()] {
        runtime.block_on(run_deployment(bin_dir, plan))?;
    }
    println!("Every check passed.");
    Ok(())
}

async fn run_deployment(bin_dir: &Path, plan: FleetPlan) -> Result<(), String> {
    println!("{}:", plan.deployment);
    let mut fleet = Fleet::start(bin_dir, plan).await?;
    let plan = &fleet.plan;
    println!(
        "  {} entry instances, {} engines with {} slots each, {} desks, {} adapters: ready",
        plan.entries, plan.engines, plan.slots, plan.desks, plan.adapters
    );
    check_completions(&fleet, "completions for popular and rare adapters").await?;
    check_submission_runs_once(&fleet).await?;
    switch_preset(&mut fleet).await?;
    fleet.entries[2].process.kill();
    check_completions(&fleet, "completions after one entry instance was killed").await?;
    fleet.engines[0].process.kill();
    check_completions(&fleet, "completions after one engine was killed").await?;
    fleet.engines[0].process.restart()?;
    check_completions(&fleet, "completions after the engine restarted without adapters").await?;
    check_graceful_shutdown(&mut fleet).await?;
    check_no_busy_unloads(&fleet).await
}

fn live_addrs(fleet: &Fleet) -> Vec<SocketAddr> {
    // The third entry instance may be killed; a load balancer would route to the others.
    fleet.entries.iter().take(2).map(|entry| entry.addr).collect()
}

async fn check_completions(fleet: &Fleet, title: &str) -> Result<(), String> {
    let addrs = live_addrs(fleet);
    let mut tasks = Vec::new();
    for number in 0..HOT_ADAPTERS * 8 + COLD_ADAPTERS {
        let adapter =
            if number < HOT_ADAPTERS * 8 { number % HOT_ADAPTERS + 1 } else { 100 + number };
        let mut spec = CompletionSpec::new(FleetPlan::adapter(adapter));
        spec.version = (number % 2 == 0).then_some(tamaracklead::names::Version(1));
        let client = fleet.client.clone();
        let mut addrs = addrs.clone();
        addrs.rotate_left(number as usize % 2);
        tasks.push(tokio::spawn(async move {
            caller::complete_with_retries(&client, &addrs, &spec, MAX_ATTEMPTS).await
        }));
    }
    let total = tasks.len();
    let mut retried = 0;
    for task in tasks {
        let attempts = task
            .await
            .map_err(|e| e.to_string())?
            .map_err(|e: CallerError| format!("{title}: {e:?}"))?;
        retried += usize::from(attempts > 0);
    }
    println!("  {title}: {total} correct, {retried} of them after retries");
    Ok(())
}

async fn check_submission_runs_once(fleet: &Fleet) -> Result<(), String> {
    let failed = |e: CallerError| format!("submission failed: {e:?}");
    let client = &fleet.client;
    let body = serde_json::json!({"proposal": 7});
    let ticket = caller::request_ticket(client, fleet.entries[0].addr).await.map_err(failed)?;
    let mut receipts = Vec::new();
    for entry in &fleet.entries {
        let reply = caller::submit(client, entry.addr, &ticket, &body).await.map_err(failed)?;
        receipts.push(reply.receipt);
    }
    receipts.dedup();
    let mut runs = 0;
    for desk in &fleet.desks {
        let counts: BTreeMap<String, u64> = client.get(desk.addr, "/lab/counts").await?;
        runs += counts.values().sum::<u64>();
    }
    if receipts.len() != 1 || runs != 1 {
        return Err(format!(
            "submission must run once: receipts {receipts:?}, {runs} runs at the desks"
        ));
    }
    println!(
        "  one submission sent to all entry instances: 1 run, receipt {} each time",
        receipts[0]
    );
    Ok(())
}

async fn switch_preset(fleet: &mut Fleet) -> Result<(), String> {
    fleet.publish(Generation(2), "peak").await?;
    fleet.wait_for_generation(Generation(2)).await?;
    println!("  preset \"peak\" (generation 2) in effect at every entry instance");
    Ok(())
}

async fn check_graceful_shutdown(fleet: &mut Fleet) -> Result<(), String> {
    let mut spec = CompletionSpec::new(FleetPlan::adapter(1));
    spec.max_tokens = LONG_STREAM_TOKENS;
    let client = fleet.client.clone();
    let addr = fleet.entries[1].addr;
    let stream =
        tokio::spawn(async move { caller::complete_streaming(&client, addr, &spec).await });
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    fleet.entries[1].process.signal(Signal::SIGTERM);
    let answer = stream.await.map_err(|e| e.to_string())?;
    answer.map_err(|e| format!("stream failed during shutdown: {e:?}"))?;
    let status = fleet.entries[1].process.wait()?;
    if !status.success() {
        return Err(format!("entry instance shut down with {status}"));
    }
    println!(
        "  an entry instance streamed {LONG_STREAM_TOKENS} tokens to the end while it shut down"
    );
    Ok(())
}

async fn check_no_busy_unloads(fleet: &Fleet) -> Result<(), String> {
    for engine in &fleet.engines {
        let counts: BTreeMap<String, u64> = fleet.client.get(engine.addr, "/lab/counts").await?;
        if counts.get("busy_unloads") != Some(&0) {
            return Err(format!(
                "{} unloaded an adapter while a request ran on it: {counts:?}",
                engine.process.name
            ));
        }
    }
    println!("  no engine unloaded an adapter in use");
    Ok(())
}
