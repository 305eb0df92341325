//! Periodic report of the instance's metrics, with gauges read at each report.

use std::sync::Arc;

use super::Node;
use crate::decide::config::ConfigSync;
use crate::telemetry::Gauge;
use crate::telemetry::REPORT_INTERVAL;

/// Reports each [`REPORT_INTERVAL`]; never returns.
pub async fn metrics(node: Arc<Node>) {
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    loop {
        interval.tick().await;
        node.metrics.send_report(&gauges(&node));
    }
}

fn gauges(node: &Node) -> Vec<(Gauge, u64)> {
    let now = node.now();
    let engines: Vec<_> = node.engines.all().iter().map(|shard| shard.status()).collect();
    let running: usize = engines.iter().map(|engine| engine.running).sum();
    let waiting: usize = engines.iter().map(|engine| engine.waiting).sum();
    let batch_capacity: usize = engines.iter().map(|engine| engine.batch).sum();
    let fill = (running * 100).checked_div(batch_capacity).unwrap_or(0);
    let generation = node.config(ConfigSync::generation).map_or(0, |generation| generation.0);
    let peers = node.membership(|membership| membership.live(now).count());
    vec![
        (Gauge::Generation, generation),
        (Gauge::BatchFillPercent, fill as u64),
        (Gauge::EnginesOwned, engines.len() as u64),
        (Gauge::Running, running as u64),
        (Gauge::Waiting, waiting as u64),
        (Gauge::InFlight, node.in_flight.count() as u64),
        (Gauge::PeersLive, peers as u64),
    ]
}
