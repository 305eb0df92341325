//! What reached backend servers that leave, and whose orders they got.

use std::collections::HashMap;
use std::time::Duration;

use super::super::Disruption;
use super::super::record::Arrival;
use super::super::record::OrderArrival;
use super::super::record::Seen;
use super::Rule;
use super::Violation;
use super::calm::is_calm;
use super::calm::is_thawing;

/// Time after which no request reaches a server that leaves.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Checks requests and orders at all servers.
pub fn check(seen: &Seen, disruptions: &[Disruption]) -> Vec<Violation> {
    let mut left_at: HashMap<(&str, u64), Duration> = HashMap::new();
    for leaving in &seen.leavings {
        left_at.entry((&leaving.server, leaving.born)).or_insert(leaving.at);
    }
    let drained = |arrival: &Arrival| {
        let left_at = *left_at.get(&(&*arrival.server, arrival.born))?;
        check_drain(arrival, left_at, disruptions)
    };
    let mut violations: Vec<Violation> = seen.arrivals.iter().filter_map(drained).collect();
    let mut orders: HashMap<(&str, u64), Vec<&OrderArrival>> = HashMap::new();
    for order in &seen.orders {
        orders.entry((&order.server, order.born)).or_default().push(order);
        violations.extend(check_limit(order));
    }
    for orders in orders.values_mut() {
        orders.sort_by_key(|order| order.at);
        violations.extend(check_holders(orders, disruptions));
    }
    violations
}

fn check_drain(
    arrival: &Arrival,
    left_at: Duration,
    disruptions: &[Disruption],
) -> Option<Violation> {
    let is_late = left_at + DRAIN_BOUND < arrival.at && arrival.run != Err(421);
    if !is_late || !is_calm(disruptions, left_at, arrival.at) {
        return None;
    }
    let late = (arrival.at - left_at).as_millis();
    let detail =
        format!("attempt {} reached {} {late} ms after its leaving", arrival.id, arrival.server);
    Some(Violation::new(Rule::Drain, arrival.at, detail))
}

fn check_limit(order: &OrderArrival) -> Option<Violation> {
    let detail = format!("{} ordered {} to load too many adapters", order.holder, order.server);
    order.exceeds_places.then(|| Violation::new(Rule::Limit, order.at, detail))
}

/// Each fencing number belongs to one holder, and none follows a higher one; orders that arrive as
/// their sender is resumed or its link heals don't count.
fn check_holders(orders: &[&OrderArrival], disruptions: &[Disruption]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut highest: Option<&OrderArrival> = None;
    for order in orders.iter().filter(|order| !is_thawing(disruptions, order.at)) {
        let Some(before) = highest else {
            highest = Some(order);
            continue;
        };
        let is_shared = order.fence == before.fence && order.holder != before.holder;
        if is_shared || order.fence < before.fence {
            let detail = format!(
                "{} got an order of {} with {} after one of {} with {}",
                order.server, order.holder, order.fence, before.holder, before.fence
            );
            violations.push(Violation::new(Rule::One, order.at, detail));
        } else {
            highest = Some(order);
        }
    }
    violations
}
