//! `lab demo`: a fleet of each deployment, driven through failures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use nix::sys::signal::Signal;
use tamaracklead::names::Generation;

use crate::ask;
use crate::ask::AskError;
use crate::ask::AskedCompletion;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::FleetPlan;

/// Adapters that are asked for often.
const HOT: u32 = 3;
/// Adapters that are asked for once.
const COLD: u32 = 12;
/// How often a caller asks again before it gives up.
const TRIES: usize = 10;
/// Tokens of the stream that runs while its instance shuts down.
const LONG_STREAM: u32 = 400;

/// Runs the demonstration of both deployments.
///
/// # Errors
///
/// A sentence that names the first thing that was not as it must be.
pub fn run(bin_dir: &Path) -> Result<(), String> {
    let runtime = fleet::runtime()?;
    for plan in [FleetPlan::nakhla(), FleetPlan::pamoja()] {
        runtime.block_on(deployment(bin_dir, plan))?;
    }
    println!("Every answer was right.");
    Ok(())
}

async fn deployment(bin_dir: &Path, plan: FleetPlan) -> Result<(), String> {
    println!("{}:", plan.deployment);
    let mut fleet = Fleet::start(bin_dir, plan).await?;
    let plan = &fleet.plan;
    println!(
        "  {} daemons, {} engines with {} slots each, {} desks, {} adapters: ready",
        plan.entries, plan.engines, plan.slots, plan.desks, plan.adapters
    );
    completions(&fleet, "completions for hot and cold adapters").await?;
    submission(&fleet).await?;
    switch_preset(&mut fleet).await?;
    fleet.entries[2].process.kill();
    completions(&fleet, "completions after one daemon was killed").await?;
    fleet.engines[0].process.kill();
    completions(&fleet, "completions after one engine was killed").await?;
    fleet.engines[0].process.restart()?;
    completions(&fleet, "completions after the engine came back cold").await?;
    shut_down(&mut fleet).await?;
    no_busy_unload(&fleet).await
}

fn live_addrs(fleet: &Fleet) -> Vec<SocketAddr> {
    // The third daemon may be gone; callers behind a balancer use the others.
    fleet.entries.iter().take(2).map(|entry| entry.addr).collect()
}

async fn completions(fleet: &Fleet, title: &str) -> Result<(), String> {
    let addrs = live_addrs(fleet);
    let mut tasks = Vec::new();
    for number in 0..HOT * 8 + COLD {
        let adapter = if number < HOT * 8 { number % HOT + 1 } else { 100 + number };
        let mut asked = AskedCompletion::new(FleetPlan::adapter(adapter));
        asked.version = (number % 2 == 0).then_some(tamaracklead::names::Version(1));
        let client = fleet.client.clone();
        let mut addrs = addrs.clone();
        addrs.rotate_left(number as usize % 2);
        tasks.push(tokio::spawn(async move {
            ask::ask_patiently(&client, &addrs, &asked, TRIES).await
        }));
    }
    let total = tasks.len();
    let mut came_back = 0;
    for task in tasks {
        let tries = task
            .await
            .map_err(|e| e.to_string())?
            .map_err(|e: AskError| format!("{title}: {e:?}"))?;
        came_back += usize::from(tries > 0);
    }
    println!("  {title}: {total} right, {came_back} of them after coming back as told");
    Ok(())
}

async fn submission(fleet: &Fleet) -> Result<(), String> {
    let failed = |e: AskError| format!("submission: {e:?}");
    let client = &fleet.client;
    let body = serde_json::json!({"proposal": 7});
    let ticket = ask::ticket(client, fleet.entries[0].addr).await.map_err(failed)?;
    let mut receipts = Vec::new();
    for entry in &fleet.entries {
        let reply = ask::submit(client, entry.addr, &ticket, &body).await.map_err(failed)?;
        receipts.push(reply.receipt);
    }
    receipts.dedup();
    let mut runs = 0;
    for desk in &fleet.desks {
        let counts: BTreeMap<String, u64> = client.get(desk.addr, "/lab/counts").await?;
        runs += counts.values().sum::<u64>();
    }
    if receipts.len() != 1 || runs != 1 {
        return Err(format!("submission: receipts {receipts:?}, {runs} runs at the desks"));
    }
    println!("  one submission sent to all daemons: 1 run, receipt {} each time", receipts[0]);
    Ok(())
}

async fn switch_preset(fleet: &mut Fleet) -> Result<(), String> {
    fleet.publish(Generation(2), "peak").await?;
    fleet.wait_for_generation(Generation(2)).await?;
    println!("  preset \"peak\" (generation 2) in force at every daemon");
    Ok(())
}

async fn shut_down(fleet: &mut Fleet) -> Result<(), String> {
    let mut asked = AskedCompletion::new(FleetPlan::adapter(1));
    asked.max_tokens = LONG_STREAM;
    let client = fleet.client.clone();
    let addr = fleet.entries[1].addr;
    let stream = tokio::spawn(async move { ask::ask_stream(&client, addr, &asked).await });
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    fleet.entries[1].process.signal(Signal::SIGTERM);
    let answer = stream.await.map_err(|e| e.to_string())?;
    answer.map_err(|e| format!("stream during shutdown: {e:?}"))?;
    let status = fleet.entries[1].process.wait()?;
    if !status.success() {
        return Err(format!("shutdown ended with {status}"));
    }
    println!("  a daemon shut down while it streamed {LONG_STREAM} tokens: the stream was whole");
    Ok(())
}

async fn no_busy_unload(fleet: &Fleet) -> Result<(), String> {
    for engine in &fleet.engines {
        let counts: BTreeMap<String, u64> = fleet.client.get(engine.addr, "/lab/counts").await?;
        if counts.get("busy_unloads") != Some(&0) {
            return Err(format!("{} unloaded an adapter in use: {counts:?}", engine.process.name));
        }
    }
    println!("  no engine unloaded an adapter in use");
    Ok(())
}
