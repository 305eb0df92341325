//! Summary table: the project against the best baseline and the offline bound, by scenario.

use super::offline_bound::OfflineBound;
use super::policy::Policy;
use super::run_metrics::RunMetrics;

/// Header of the Markdown table.
pub const HEADER: &str = "| deployment, scenario | stall s: ours | best baseline | offline bound | \
ratio to baseline | ratio to bound | p95 first ms: ours | baseline | fill: ours | baseline | \
goodput: ours | baseline | refused: ours | baseline |\n\
|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|";

/// Renders one row; the best baseline is the one with the least total stall time.
pub fn row(title: &str, rows: &[(Policy, RunMetrics)], bound: &OfflineBound) -> String {
    let ours = rows.iter().find(|(policy, _)| *policy == Policy::Tamaracklead).map(|(_, f)| f);
    let baselines =
        rows.iter().filter(|(policy, _)| *policy != Policy::Tamaracklead).map(|(_, f)| f);
    let best = baselines.min_by(|a, b| a.stall_total_s.total_cmp(&b.stall_total_s));
    let (Some(ours), Some(best)) = (ours, best) else { return String::new() };
    format!(
        "| {title} | {:.0} | {:.0} | {:.0} | {:.2} | {:.2} | {:.0} | {:.0} | {:.3} | {:.3} | \
         {:.3} | {:.3} | {} | {} |",
        ours.stall_total_s,
        best.stall_total_s,
        bound.stall_total_s,
        ours.stall_total_s / best.stall_total_s,
        ours.stall_total_s / bound.stall_total_s,
        ours.first_p95,
        best.first_p95,
        ours.fill,
        best.fill,
        ours.goodput,
        best.goodput,
        ours.refused,
        best.refused,
    )
}
