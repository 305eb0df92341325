//! Arrivals and faults of one run, drawn ahead from a seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::names::Timestamp;

use super::Arrival;
use super::Deployment;
use super::Popularity;
use super::Scenario;

/// Length of a run.
pub const LENGTH: Duration = Duration::from_secs(600);
/// Time from which figures count; before it caches fill.
pub const WARM_UP: Duration = Duration::from_secs(120);
/// When a scenario's event happens.
const EVENT_AT: Duration = Duration::from_secs(240);
/// How long a scenario's temporary event lasts.
const EVENT_LENGTH: Duration = Duration::from_secs(120);
/// Time between a preset switch and the arrivals that it prepares for.
const PRESET_LEAD: Duration = Duration::from_secs(10);
/// Share of requests that follow up on a recent one, on the same adapter.
const FOLLOW_UP_SHARE: f64 = 0.3;
/// How many recent requests a follow-up may refer to.
const RECENT: usize = 100;
/// Arrivals of a burst against ordinary ones.
const BURST_FACTOR: f64 = 3.0;
/// Adapters that a gala concerns, and the share of its requests on them.
const GALA_ADAPTERS: std::ops::Range<usize> = 500..540;
const GALA_SHARE: f64 = 0.6;
/// Adapters that a preset pins.
const PINNED: std::ops::Range<usize> = 500..520;

/// What happens to the fleet at a point of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// An engine restarts.
    Restart(usize),
    /// The store's rate changes.
    StoreRate(f64),
    /// A preset that keeps these adapters loaded comes into force.
    Preset(Vec<usize>),
}

/// Everything that happens in one run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Requests in the order of their arrival.
    pub arrivals: Vec<Arrival>,
    /// Events of the fleet in the order of time.
    pub events: Vec<(Timestamp, FleetEvent)>,
}

impl Workload {
    /// Draws a run.
    pub fn draw(deployment: &Deployment, scenario: Scenario, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut popularity = Popularity::zipf(deployment.adapters, &mut rng);
        let pinned = popularity.ranked(PINNED).to_vec();
        let gala = popularity.ranked(GALA_ADAPTERS).to_vec();
        let event_at = Timestamp::ZERO + EVENT_AT;
        let event_end = event_at + EVENT_LENGTH;
        let mut arrivals: Vec<Arrival> = Vec::new();
        let mut at = Timestamp::ZERO;
        let mut changed = false;
        while at < Timestamp::ZERO + LENGTH {
            let in_event = at >= event_at && at < event_end;
            let burst = in_event && scenario == Scenario::GalaBurst;
            let factor = if burst { BURST_FACTOR } else { 1.0 };
            let uniform: f64 = rng.random();
            let gap = -(1.0 - uniform).ln() / (deployment.ordinary_rate() * factor);
            at = at + Duration::from_secs_f64(gap);
            if at >= event_at && !changed {
                changed = true;
                match scenario {
                    Scenario::PopularityShift => popularity.shift(&mut rng),
                    Scenario::PresetSwitch => popularity.promote(&pinned),
                    _ => {}
                }
            }
            let adapter = if burst && rng.random_bool(GALA_SHARE) {
                gala[rng.random_range(0..gala.len())]
            } else if !arrivals.is_empty() && rng.random_bool(FOLLOW_UP_SHARE) {
                let recent = arrivals.len().min(RECENT);
                arrivals[arrivals.len() - 1 - rng.random_range(0..recent)].adapter
            } else {
                popularity.draw(&mut rng)
            };
            arrivals.push(Arrival {
                at,
                adapter,
                prompt_tokens: rng.random_range(50..600),
                answer_tokens: rng.random_range(40..360),
            });
        }
        Self { arrivals, events: Self::fleet_events(deployment, scenario, pinned) }
    }

    fn fleet_events(
        deployment: &Deployment,
        scenario: Scenario,
        pinned: Vec<usize>,
    ) -> Vec<(Timestamp, FleetEvent)> {
        let at = Timestamp::ZERO + EVENT_AT;
        let restarts = |count: usize| (0..count).map(|e| (at, FleetEvent::Restart(e))).collect();
        match scenario {
            Scenario::EngineRestart => restarts(deployment.engines / 3),
            Scenario::RetryStorm => restarts(deployment.engines),
            Scenario::SlowStore => vec![
                (at, FleetEvent::StoreRate(deployment.store_rate / 3.0)),
                (at + EVENT_LENGTH, FleetEvent::StoreRate(deployment.store_rate)),
            ],
            Scenario::PresetSwitch => vec![(at - PRESET_LEAD, FleetEvent::Preset(pinned))],
            Scenario::OrdinaryEvening | Scenario::GalaBurst | Scenario::PopularityShift => {
                Vec::new()
            }
        }
    }
}
