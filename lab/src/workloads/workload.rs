//! Arrivals and fleet events of one run, generated in advance from a seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::names::Timestamp;

use super::Arrival;
use super::Deployment;
use super::Popularity;
use super::Scenario;

/// Time during which requests arrive.
pub const RUN_LENGTH: Duration = Duration::from_secs(600);
/// Time from which metrics count; before it the adapter slots fill.
pub const WARM_UP: Duration = Duration::from_secs(120);
/// Time of a scenario's disturbance.
const EVENT_AT: Duration = Duration::from_secs(240);
/// Duration of a burst or of a slow weight store.
const EVENT_LENGTH: Duration = Duration::from_secs(120);
/// Time from a preset switch until its pinned adapters become popular.
const PRESET_LEAD: Duration = Duration::from_secs(10);
/// Share of requests for the adapter of a recent request, outside a gala's own requests.
const FOLLOW_UP_SHARE: f64 = 0.3;
/// Number of latest requests from which a follow-up takes its adapter.
const RECENT_REQUESTS: usize = 100;
/// Arrival rate of a burst, as a multiple of the ordinary rate.
const BURST_FACTOR: f64 = 3.0;
/// Initial popularity ranks of the adapters of a gala.
const GALA_RANKS: std::ops::Range<usize> = 500..540;
/// Share of a burst's requests that go to the adapters of the gala.
const GALA_SHARE: f64 = 0.6;
/// Initial popularity ranks of the adapters that the preset pins.
const PINNED_RANKS: std::ops::Range<usize> = 500..520;

/// A change of the fleet during a run.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// The engine with this index restarts and loses its adapters and requests.
    Restart(usize),
    /// The weight store's rate changes to this many loads a second.
    StoreRate(f64),
    /// A preset that pins these adapters takes effect.
    Preset(Vec<usize>),
}

/// Arrivals and fleet events of one run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Requests, by arrival time.
    pub arrivals: Vec<Arrival>,
    /// Fleet events, by time.
    pub events: Vec<(Timestamp, FleetEvent)>,
}

impl Workload {
    /// Generates a run; the same arguments give the same run.
    pub fn generate(deployment: &Deployment, scenario: Scenario, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut popularity = Popularity::zipf(deployment.adapters, &mut rng);
        let pinned = popularity.adapters_at(PINNED_RANKS).to_vec();
        let gala = popularity.adapters_at(GALA_RANKS).to_vec();
        let event_at = Timestamp::ZERO + EVENT_AT;
        let event_end = event_at + EVENT_LENGTH;
        let mut arrivals: Vec<Arrival> = Vec::new();
        let mut at = Timestamp::ZERO;
        let mut changed = false;
        while at < Timestamp::ZERO + RUN_LENGTH {
            let in_event = at >= event_at && at < event_end;
            let burst = in_event && scenario == Scenario::GalaBurst;
            let factor = if burst { BURST_FACTOR } else { 1.0 };
            let uniform: f64 = rng.random();
            let gap = -(1.0 - uniform).ln() / (deployment.ordinary_rate() * factor);
            at = at + Duration::from_secs_f64(gap);
            if at >= event_at && !changed {
                changed = true;
                match scenario {
                    Scenario::PopularityShift => popularity.reshuffle(&mut rng),
                    Scenario::PresetSwitch => popularity.move_to_top(&pinned),
                    _ => {}
                }
            }
            let adapter = if burst && rng.random_bool(GALA_SHARE) {
                gala[rng.random_range(0..gala.len())]
            } else if !arrivals.is_empty() && rng.random_bool(FOLLOW_UP_SHARE) {
                let recent = arrivals.len().min(RECENT_REQUESTS);
                arrivals[arrivals.len() - 1 - rng.random_range(0..recent)].adapter
            } else {
                popularity.sample(&mut rng)
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
