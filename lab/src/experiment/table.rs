//! Markdown table of one scenario's metrics.

use super::offline_bound::OfflineBound;
use super::policy::Policy;
use super::run_metrics::RunMetrics;
use crate::workloads::Deployment;
use crate::workloads::Scenario;

const HEADER: &str = "| policy | stalled | stall total s | stall p95 ms | fill | first p50 | p95 | \
p99 ms | refused | failed | goodput | loads/answer | amplification | wrong, lost, doubled |\n\
|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n";

/// Renders the metrics of one scenario: one row for each policy, then the offline bound.
pub fn render(
    deployment: &Deployment,
    scenario: Scenario,
    rows: &[(Policy, RunMetrics)],
    bound: &OfflineBound,
) -> String {
    let requests = rows.first().map_or(0, |(_, metrics)| metrics.requests);
    let mut text =
        format!("### {}, {} ({requests} requests)\n\n{HEADER}", deployment.name, scenario.name());
    for (policy, f) in rows {
        text.push_str(&format!(
            "| {} | {} | {:.0} | {:.0} | {:.3} | {:.0} | {:.0} | {:.0} | {} | {} | {:.3} | \
             {:.3} | {:.3} | {}, {}, {} |\n",
            policy.name(),
            f.stalled,
            f.stall_total_s,
            f.stall_p95,
            f.fill,
            f.first_p50,
            f.first_p95,
            f.first_p99,
            f.refused,
            f.failed,
            f.goodput,
            f.loads_per_answer,
            f.amplification,
            f.wrong,
            f.lost,
            f.doubled,
        ));
    }
    text.push_str(&format!(
        "| offline bound | {} | {:.0} | | | | | | {} | | | | | |\n",
        bound.stalled, bound.stall_total_s, bound.refused,
    ));
    text
}
