//! Crashes of replicas that had requests with one prompt part.

use std::collections::HashMap;
use std::time::Duration;

use super::CrashEvidence;
use crate::names::Timestamp;

/// Weight of a crash for the parts of a response that had just begun.
pub const BEGUN_WEIGHT: u32 = 2;
/// Weight of a crash for the parts of a request that was still waiting.
const WAITING_WEIGHT: u32 = 1;
/// Crashes within this time may have one cause from outside, and count once.
const SAME_CAUSE_SPAN: Duration = Duration::from_millis(200);
/// Time within which crashes add up.
pub const EVIDENCE_TIME: Duration = Duration::from_secs(60);
/// Most crashes that are remembered for one part.
const MAX_CRASHES: usize = 64;
/// First quarantine of a part, after its last crash; it doubles with each relapse.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(60);
/// Most doublings of a quarantine.
const MAX_RELAPSES: u32 = 5;

/// One crash, as this instance knows it.
#[derive(Clone, Copy, Debug)]
struct Crash {
    id: u64,
    begun: bool,
    at: Timestamp,
    learned_at: Timestamp,
}

impl Crash {
    fn weight(&self) -> u32 {
        if self.begun { BEGUN_WEIGHT } else { WAITING_WEIGHT }
    }
}

/// A prompt part that replicas had when they crashed, by its crashes in order of time.
#[derive(Clone, Debug, Default)]
pub struct SuspectPart {
    position: u32,
    crashes: Vec<Crash>,
}

impl SuspectPart {
    /// Adds a crash at `at`; returns whether this is news.
    pub fn add(&mut self, now: Timestamp, at: Timestamp, evidence: &CrashEvidence) -> bool {
        self.position = evidence.position;
        let CrashEvidence { crash: id, begun, .. } = *evidence;
        if let Some(known) = self.crashes.iter_mut().find(|known| known.id == id) {
            let is_news = begun && !known.begun;
            known.begun |= begun;
            if is_news {
                known.learned_at = now;
            }
            return is_news;
        }
        self.crashes.push(Crash { id, begun, at, learned_at: now });
        self.crashes.sort_by_key(|crash| crash.at);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Drops the crashes up to `at`.
    pub fn drop_until(&mut self, at: Timestamp) {
        self.crashes.retain(|crash| crash.at > at);
    }

    /// Whether no crash is left.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Whether this instance has learned of a crash since `since`.
    pub fn has_news(&self, since: Timestamp) -> bool {
        self.crashes.iter().any(|crash| crash.learned_at >= since)
    }

    /// Position of the part in its prompt.
    pub fn position(&self) -> u32 {
        self.position
    }

    /// Time of the last crash.
    pub fn last_crash(&self) -> Timestamp {
        self.crashes.last().map_or(Timestamp::ZERO, |crash| crash.at)
    }

    /// Ids and weights of the crashes.
    pub fn weights(&self) -> impl Iterator<Item = (u64, u32)> {
        self.crashes.iter().map(|crash| (crash.id, crash.weight()))
    }

    /// Weight of all crashes, each counted on its own.
    pub fn total_weight(&self) -> u32 {
        self.crashes.iter().map(Crash::weight).sum()
    }

    /// Weight of the crashes within the heaviest [`EVIDENCE_TIME`], less the weights in `explained`.
    pub fn score(&self, explained: &HashMap<u64, u32>) -> u32 {
        let weights = self.spans(explained).filter_map(|span| weigh(&span).last().copied());
        weights.map(|(_, total)| total).max().unwrap_or(0)
    }

    /// Most crashes within [`EVIDENCE_TIME`] that `explained` leaves a weight.
    pub fn crashes_beside(&self, explained: &HashMap<u64, u32>) -> usize {
        self.spans(explained).map(|span| weigh(&span).len()).max().unwrap_or(0)
    }

    /// Ids of crashes from which the quarantine follows for whoever knows no others: the first ones
    /// that weigh `enough`, the first ones that weigh this or as much as there is without what is
    /// `explained`, the relapses and the last one.
    pub fn standing_crashes(&self, explained: &HashMap<u64, u32>, enough: u32) -> Vec<u64> {
        let mut ids = self.first_crashes(&HashMap::new(), enough);
        ids.extend(self.first_crashes(explained, enough.min(self.score(explained))));
        ids.extend(self.relapses().rev().take(MAX_RELAPSES as usize).map(|crash| crash.id));
        ids.extend(self.crashes.last().map(|crash| crash.id));
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    /// The first crashes that weigh `enough` without what is `explained`.
    fn first_crashes(&self, explained: &HashMap<u64, u32>, enough: u32) -> Vec<u64> {
        let mut spans = self.spans(explained).map(|span| weigh(&span));
        let first = spans.find(|span| span.last().is_some_and(|(_, total)| *total >= enough));
        let first = first.unwrap_or_default();
        let needed = 1 + first.iter().take_while(|(_, total)| *total < enough).count();
        first.iter().take(needed).map(|(id, _)| *id).collect()
    }

    /// End of the quarantine that follows from the crashes.
    pub fn quarantined_until(&self) -> Timestamp {
        let doublings = (self.relapses().count() as u32).min(MAX_RELAPSES);
        self.last_crash() + QUARANTINE_TIME * 2u32.pow(doublings)
    }

    /// The crashes that this instance has learned of since `since`, and those in `standing`.
    pub fn evidence(
        &self,
        now: Timestamp,
        part: u64,
        since: Timestamp,
        standing: &[u64],
    ) -> impl Iterator<Item = CrashEvidence> {
        let is_shared =
            move |crash: &&Crash| crash.learned_at >= since || standing.contains(&crash.id);
        self.crashes.iter().filter(is_shared).map(move |crash| self.encode(now, part, crash))
    }

    /// Crashes after the time of a quarantine.
    fn relapses(&self) -> impl DoubleEndedIterator<Item = &Crash> {
        let pairs = self.crashes.iter().zip(self.crashes.iter().skip(1));
        pairs.filter(|(one, next)| next.at.since(one.at) >= QUARANTINE_TIME).map(|(_, next)| next)
    }

    /// For each crash that `explained` leaves a weight, it and those within [`EVIDENCE_TIME`] after
    /// it, with these weights.
    fn spans(&self, explained: &HashMap<u64, u32>) -> impl Iterator<Item = Vec<(Crash, u32)>> {
        let left = |crash: &Crash| {
            let weight = crash.weight();
            (*crash, weight - weight.min(explained.get(&crash.id).copied().unwrap_or(0)))
        };
        let open = self.crashes.iter().map(left).filter(|(_, weight)| *weight > 0);
        let open: Vec<(Crash, u32)> = open.collect();
        (0..open.len()).map(move |start| {
            let is_near =
                |(crash, _): &&(Crash, u32)| crash.at.since(open[start].0.at) < EVIDENCE_TIME;
            open[start..].iter().take_while(is_near).copied().collect()
        })
    }

    fn encode(&self, now: Timestamp, part: u64, crash: &Crash) -> CrashEvidence {
        let age_ms = u64::try_from(now.since(crash.at).as_millis()).unwrap_or(u64::MAX);
        let Crash { id, begun, .. } = *crash;
        CrashEvidence { part, position: self.position, crash: id, begun, age_ms }
    }
}

/// Ids of the crashes that add weight, each with the weight up to it.
fn weigh(crashes: &[(Crash, u32)]) -> Vec<(u64, u32)> {
    let mut weighed = Vec::new();
    let mut total = 0;
    let mut group: Option<(Timestamp, u32)> = None;
    for (crash, weight) in crashes {
        let weight = *weight;
        let same = group.filter(|(since, _)| crash.at.since(*since) < SAME_CAUSE_SPAN);
        let (since, counted) = same.unwrap_or((crash.at, 0));
        if weight > counted {
            total += weight - counted;
            weighed.push((crash.id, total));
        }
        group = Some((since, counted.max(weight)));
    }
    weighed
}
