//! `lab hops`: time to the first token over no, one and two hops through entry instances.
//!
//! Requests go to the engine itself, to the entry instance that owns the engine,
//! and to one that forwards to the owner. All run at once, so that the paths
//! compare under the same load.

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

use super::load_report::LatencyHistogram;
use super::request;
use super::request::RequestOutcome;
use crate::caller;
use crate::caller::CompletionSpec;
use crate::fleet::Fleet;
use crate::fleet::FleetPlan;
use crate::fleet::LabClient;

/// Batch size of the engine; large enough that no request queues.
const ENGINE_BATCH: u32 = 512;
/// Time between tokens of the stand-in engine, in milliseconds.
const TOKEN_MS: u64 = 1;
/// One of this many requests to an entry instance is also sent to the engine itself.
const DIRECT_DIVISOR: u64 = 5;

/// Parameters of `lab hops`.
#[derive(Clone, Copy, Debug)]
pub struct HopsPlan {
    /// Requests a second at each of the two entry instances.
    pub rate: u64,
    /// Duration of the run.
    pub length: Duration,
}

/// Path of a request to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HopPath {
    /// Straight to the engine.
    Direct,
    /// Through the entry instance that owns the engine.
    Owner,
    /// Through another entry instance, which forwards to the owner.
    TwoHops,
}

/// Times to the first token for each path.
#[derive(Clone, Debug, Default)]
pub struct HopsReport {
    direct: LatencyHistogram,
    owner: LatencyHistogram,
    two_hops: LatencyHistogram,
    failed: u64,
}

impl HopsReport {
    /// Formats the report for a terminal.
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

    fn record(&mut self, path: HopPath, first_token: Option<Duration>) {
        let Some(first_token) = first_token else {
            self.failed += 1;
            return;
        };
        match path {
            HopPath::Direct => self.direct.record(first_token),
            HopPath::Owner => self.owner.record(first_token),
            HopPath::TwoHops => self.two_hops.record(first_token),
        }
    }
}

/// Starts a fleet with one engine and measures every path.
///
/// # Errors
///
/// What failed before the measurement; failed requests are counted in the report.
pub async fn run(bin_dir: &Path, plan: HopsPlan) -> Result<HopsReport, String> {
    let fleet_plan = FleetPlan {
        entries: 2,
        engines: 1,
        batch: ENGINE_BATCH,
        token_ms: TOKEN_MS,
        ..FleetPlan::nakhla()
    };
    let fleet = Fleet::start(bin_dir, fleet_plan).await?;
    let spec = CompletionSpec { max_tokens: 1, ..CompletionSpec::new(FleetPlan::adapter(1)) };
    for entry in &fleet.entries {
        let warm = caller::complete_with_retries(&fleet.client, &[entry.addr], &spec, 10).await;
        warm.map_err(|e| format!("warm-up completion failed: {e:?}"))?;
    }
    let owner = owner_index(&fleet).await?;
    let report: EngineReport = fleet.client.get(fleet.engines[0].addr, "/v1/running").await?;
    let direct = GenerateRequest {
        request_id: RequestId(1),
        adapter: AdapterRef::new(FleetPlan::adapter(1), Version(2)),
        prompt: spec.prompt.clone(),
        max_tokens: 1,
        priority: 5,
        fencing: report.fencing,
    };
    let sender = HopSender {
        client: fleet.client.clone(),
        engine: fleet.engines[0].addr,
        owner: fleet.entries[owner].addr,
        non_owner: fleet.entries[1 - owner].addr,
        spec,
        direct,
    };
    Ok(send_all(&sender, plan).await)
}

async fn owner_index(fleet: &Fleet) -> Result<usize, String> {
    for entry in 0..fleet.entries.len() {
        if !fleet.status(entry).await?.engines.is_empty() {
            return Ok(entry);
        }
    }
    Err("no entry instance owns the engine".to_owned())
}

async fn send_all(sender: &HopSender, plan: HopsPlan) -> HopsReport {
    let start = Instant::now();
    let mut running = JoinSet::new();
    let mut report = HopsReport::default();
    for number in 0..plan.rate * plan.length.as_secs() {
        let planned = start + Duration::from_secs(number) / plan.rate.max(1) as u32;
        tokio::time::sleep_until(planned.into()).await;
        let direct = number % DIRECT_DIVISOR == 0;
        let paths =
            [Some(HopPath::Owner), Some(HopPath::TwoHops), direct.then_some(HopPath::Direct)];
        for path in paths.into_iter().flatten() {
            let sender = sender.clone();
            running.spawn(async move { (path, sender.send(path, planned).await) });
        }
        while let Some(Ok((path, first_token))) = running.try_join_next() {
            report.record(path, first_token);
        }
    }
    while let Some(Ok((path, first_token))) = running.join_next().await {
        report.record(path, first_token);
    }
    report
}

#[derive(Clone)]
struct HopSender {
    client: LabClient,
    engine: SocketAddr,
    owner: SocketAddr,
    non_owner: SocketAddr,
    spec: CompletionSpec,
    direct: GenerateRequest,
}

impl HopSender {
    async fn send(&self, path: HopPath, planned: Instant) -> Option<Duration> {
        let addr = match path {
            HopPath::Direct => return self.send_direct(planned).await,
            HopPath::Owner => self.owner,
            HopPath::TwoHops => self.non_owner,
        };
        match request::send_completion(&self.client, addr, &self.spec, planned).await {
            RequestOutcome::Answered { first_token, .. } => Some(first_token),
            RequestOutcome::Problem(_)
            | RequestOutcome::Broken
            | RequestOutcome::WrongAnswer(_) => None,
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
