//! `lab hops`: what one and two hops through daemons add to the first token.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tamaracklead::edge::HttpCall;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::RequestId;
use tamaracklead::names::Version;
use tamaracklead::wire::engine::EngineReport;
use tamaracklead::wire::engine::GenerateRequest;
use tokio::task::JoinSet;

use super::figures::Latencies;
use super::request;
use super::request::End;
use crate::ask;
use crate::ask::AskedCompletion;
use crate::fleet::Fleet;
use crate::fleet::FleetPlan;
use crate::fleet::LabClient;

/// Batch of the engine; large enough that nothing queues.
const BATCH: u32 = 512;
/// Time between tokens, in milliseconds.
const TOKEN_MS: u64 = 1;
/// Calls to the engine itself for each call to a daemon, as a divisor of the rate.
const DIRECT_DIVISOR: u64 = 5;

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct HopsPlan {
    /// Requests a second at each daemon.
    pub rate: u64,
    /// Length of the run.
    pub length: Duration,
}

/// Which way a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// To the engine itself.
    Direct,
    /// To the instance that owns the engine.
    Owner,
    /// To another instance, and from there to the owner.
    TwoHops,
}

/// Latencies of each way.
#[derive(Clone, Debug, Default)]
pub struct HopsReport {
    direct: Latencies,
    owner: Latencies,
    two_hops: Latencies,
    failed: u64,
}

impl HopsReport {
    /// The report for a terminal.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "{:<12} {:>10} {:>10} {:>10} {:>10}",
            "first token", "count", "p50 ms", "p95 ms", "p99 ms"
        );
        let rows = [("direct", &self.direct), ("owner", &self.owner), ("two hops", &self.two_hops)];
        for (name, latencies) in rows {
            let _ = writeln!(text, "{name:<12} {:>10} {}", latencies.count(), latencies.columns());
        }
        let added = self.two_hops.millis(0.95) - self.direct.millis(0.95);
        let _ = writeln!(text, "two hops add {added:.2} ms at p95; {} failed", self.failed);
        text
    }

    /// The report as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "direct": self.direct.json(),
            "owner": self.owner.json(),
            "two_hops": self.two_hops.json(),
            "failed": self.failed,
        })
    }

    fn record(&mut self, way: Way, first_token: Option<Duration>) {
        let Some(first_token) = first_token else {
            self.failed += 1;
            return;
        };
        match way {
            Way::Direct => self.direct.record(first_token),
            Way::Owner => self.owner.record(first_token),
            Way::TwoHops => self.two_hops.record(first_token),
        }
    }
}

/// Runs the comparison.
///
/// # Errors
///
/// A sentence that says what failed.
pub async fn run(bin_dir: &Path, plan: HopsPlan) -> Result<HopsReport, String> {
    let fleet_plan = FleetPlan {
        entries: 2,
        engines: 1,
        batch: BATCH,
        token_ms: TOKEN_MS,
        ..FleetPlan::nakhla()
    };
    let fleet = Fleet::start(bin_dir, fleet_plan).await?;
    let asked = AskedCompletion { max_tokens: 1, ..AskedCompletion::new(FleetPlan::adapter(1)) };
    for entry in &fleet.entries {
        let warm = ask::ask_patiently(&fleet.client, &[entry.addr], &asked, 10).await;
        warm.map_err(|e| format!("warm-up: {e:?}"))?;
    }
    let owner = owner(&fleet).await?;
    let report: EngineReport = fleet.client.get(fleet.engines[0].addr, "/v1/running").await?;
    let direct = GenerateRequest {
        request_id: RequestId(1),
        adapter: AdapterRef::new(FleetPlan::adapter(1), Version(2)),
        prompt: asked.prompt.clone(),
        max_tokens: 1,
        priority: 5,
        fencing: report.fencing,
    };
    let sender = Sender {
        client: fleet.client.clone(),
        engine: fleet.engines[0].addr,
        owner: fleet.entries[owner].addr,
        other: fleet.entries[1 - owner].addr,
        asked,
        direct,
    };
    Ok(send_all(&sender, plan).await)
}

async fn owner(fleet: &Fleet) -> Result<usize, String> {
    for entry in 0..fleet.entries.len() {
        if !fleet.status(entry).await?.engines.is_empty() {
            return Ok(entry);
        }
    }
    Err("no daemon owns the engine".to_owned())
}

async fn send_all(sender: &Sender, plan: HopsPlan) -> HopsReport {
    let start = Instant::now();
    let mut running = JoinSet::new();
    let mut report = HopsReport::default();
    for number in 0..plan.rate * plan.length.as_secs() {
        let planned = start + Duration::from_secs(number) / plan.rate.max(1) as u32;
        tokio::time::sleep_until(planned.into()).await;
        let direct = number % DIRECT_DIVISOR == 0;
        let ways = [Some(Way::Owner), Some(Way::TwoHops), direct.then_some(Way::Direct)];
        for way in ways.into_iter().flatten() {
            let sender = sender.clone();
            running.spawn(async move { (way, sender.send(way, planned).await) });
        }
        while let Some(Ok((way, first_token))) = running.try_join_next() {
            report.record(way, first_token);
        }
    }
    while let Some(Ok((way, first_token))) = running.join_next().await {
        report.record(way, first_token);
    }
    report
}

#[derive(Clone)]
struct Sender {
    client: LabClient,
    engine: SocketAddr,
    owner: SocketAddr,
    other: SocketAddr,
    asked: AskedCompletion,
    direct: GenerateRequest,
}

impl Sender {
    async fn send(&self, way: Way, planned: Instant) -> Option<Duration> {
        let addr = match way {
            Way::Direct => return self.send_direct(planned).await,
            Way::Owner => self.owner,
            Way::TwoHops => self.other,
        };
        match request::run(&self.client, addr, &self.asked, planned).await {
            End::Answered { first_token, .. } => Some(first_token),
            End::Problem(_) | End::Broken | End::Wrong(_) => None,
        }
    }

    async fn send_direct(&self, planned: Instant) -> Option<Duration> {
        let body = Bytes::from(serde_json::to_vec(&self.direct).ok()?);
        let call = HttpCall::post(self.engine, "/v1/generate", body);
        let mut reply = self.client.send(call).await.ok()?;
        if !reply.status.is_success() {
            return None;
        }
        let mut first_token = None;
        while let Ok(Some(data)) = reply.chunk().await {
            if data.windows(7).any(|window| window == b"\"token\"") {
                first_token.get_or_insert_with(|| planned.elapsed());
            }
        }
        first_token
    }
}
