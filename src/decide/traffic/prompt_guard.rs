//! Quarantine of prompt parts that crash the replicas that begin to respond to them.
//!
//! Requests with such a part all differ, so [`CrashGuard`](super::CrashGuard) can't recognise
//! them. When a replica crashes, each instance that had requests there suspects the shared parts
//! of their prompts, and tells the others. A part that was there at several crashes is
//! quarantined. Sound parts are there too: the first part of all prompts, or those of requests
//! that waited at the same replica. They are told apart in two ways: a response that goes on for
//! a while clears all parts of its prompt, and a crash that a quarantined part explains doesn't
//! count against others.
//!
//! The quarantine follows from the evidence alone, so instances that know the same decide alike,
//! and a part that was suspected wrongly is released as soon as it is cleared or its crashes are
//! explained. After the time of the quarantine one instance sends a single request as a probe, and
//! more may the longer that takes. A part that was sound before is probed after two seconds already.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::CrashEvidence;
use super::PromptPart;
use super::QuarantineChange;
use super::SoundPart;
use super::SuspectPart;
use super::suspect_part::BEGUN_WEIGHT;
use super::suspect_part::EVIDENCE_TIME;
use super::suspect_part::QUARANTINE_TIME;
use crate::names::BackendName;
use crate::names::Timestamp;

/// Weight of crashes from which on a part is quarantined: three responses that had just begun.
const QUARANTINE_SCORE: u32 = 2 * BEGUN_WEIGHT + 1;
/// Crashes that other quarantined parts must leave partly unexplained if the part was never sound.
const REST_CRASHES: usize = 3;
/// Weight of crashes from which on requests with a part that was never sound aren't sent again.
const RETRY_SCORE: u32 = 2 * BEGUN_WEIGHT;
/// Time after its last crash, and between probes, for which a part that was sound is quarantined.
const SOUND_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after the end of a quarantine in which twice as many instances may send a probe.
const PROBER_DOUBLING_TIME: Duration = Duration::from_secs(10);
/// Most doublings of the number of probers.
const MAX_PROBER_DOUBLINGS: u128 = 16;
/// Time after its last crash at which a quarantined part is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(3600);
/// Time for which news are shared.
const SHARE_TIME: Duration = Duration::from_secs(3);
/// Most items of one kind in a message.
const MAX_SHARED: usize = 64;
/// Most suspected parts; a further one takes the place of that with the least weight of crashes,
/// among these of that whose last crash is the oldest.
const MAX_SUSPECTS: usize = 1024;
/// Most parts whose soundness is remembered.
const MAX_SOUND: usize = 4096;
/// Time before the start of the process from which on crashes can be recorded.
const TIME_BEFORE_START: Duration = Duration::from_secs(24 * 3600);

/// A quarantined part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Id of the prompt part.
    pub part: u64,
    /// Time left; zero if a probe may be sent.
    pub left: Duration,
    /// Number of instances that may send a probe now.
    pub probers: usize,
}

/// What follows from the crashes of a quarantined part.
#[derive(Clone, Debug)]
struct Culprit {
    until: Timestamp,
    /// Crashes that are shared all the time, for instances that have restarted.
    standing: Vec<u64>,
}

/// Suspected, quarantined and sound prompt parts.
#[derive(Clone, Debug, Default)]
pub struct PromptGuard {
    suspects: HashMap<u64, SuspectPart>,
    sound: HashMap<u64, Timestamp>,
    /// Parts whose soundness peers are told, and since when.
    cleared: HashMap<u64, Timestamp>,
    quarantined: HashMap<u64, Culprit>,
    probed: HashMap<u64, Timestamp>,
}

impl PromptGuard {
    /// Records that a replica crashed while a request was there; `begun` is whether its response
    /// had just begun. `parts` are those that the prompt shares with others.
    pub fn on_crash(
        &mut self,
        now: Timestamp,
        replica: &BackendName,
        started_ms: u64,
        parts: &[PromptPart],
        begun: bool,
    ) -> Vec<QuarantineChange> {
        let crash = xxh3_64_with_seed(replica.as_str().as_bytes(), started_ms);
        let evidence: Vec<CrashEvidence> = (0..)
            .zip(parts)
            .map(|(position, part)| CrashEvidence {
                part: part.id,
                position,
                crash,
                begun,
                age_ms: 0,
            })
            .collect();
        self.on_peer_evidence(now, &evidence, &[])
    }

    /// Records that a replica went on after it had begun to respond to a prompt with these parts.
    pub fn on_sound(&mut self, now: Timestamp, parts: &[PromptPart]) -> Vec<QuarantineChange> {
        let sound: Vec<SoundPart> =
            parts.iter().map(|part| SoundPart { part: part.id, age_ms: 0 }).collect();
        self.on_peer_evidence(now, &[], &sound)
    }

    /// Adds what another instance knows; returns what changes by it.
    pub fn on_peer_evidence(
        &mut self,
        now: Timestamp,
        evidence: &[CrashEvidence],
        sound: &[SoundPart],
    ) -> Vec<QuarantineChange> {
        let now = now + TIME_BEFORE_START;
        let mut is_news = false;
        for item in evidence {
            is_news |= self.add_crash(now, item);
        }
        for item in sound {
            is_news |= self.add_sound(now, item);
        }
        if is_news { self.update(now) } else { Vec::new() }
    }

    /// What to tell other instances.
    pub fn share(&self, now: Timestamp) -> (Vec<CrashEvidence>, Vec<SoundPart>) {
        let now = now + TIME_BEFORE_START;
        let news_since = now - SHARE_TIME;
        let mut evidence = Vec::new();
        for (part, suspect) in &self.suspects {
            let standing = self.quarantined.get(part).map_or(&[][..], |known| &known.standing);
            evidence.extend(suspect.evidence(now, *part, news_since, standing));
        }
        // Parts of one crash are many and mostly bystanders; those of several come first.
        evidence.sort_by_cached_key(|item| {
            let score = self.suspects.get(&item.part).map_or(0, |s| s.score(&HashMap::new()));
            let is_other = !self.quarantined.contains_key(&item.part);
            (is_other, Reverse(score), item.age_ms, item.part, item.crash)
        });
        evidence.truncate(MAX_SHARED);
        let suspected = self.suspects.iter().filter(|(_, suspect)| suspect.has_news(news_since));
        let suspected = suspected.filter_map(|(part, _)| Some((part, self.sound.get(part)?)));
        let cleared = self.cleared.iter().filter(|(_, since)| **since >= news_since);
        let cleared = cleared.filter_map(|(part, _)| Some((part, self.sound.get(part)?)));
        let mut sound: Vec<(u64, Timestamp)> =
            suspected.chain(cleared).map(|(part, at)| (*part, *at)).collect();
        sound.sort_unstable_by_key(|(part, at)| (Reverse(*at), *part));
        sound.dedup();
        sound.truncate(MAX_SHARED);
        let age_ms = |at: Timestamp| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        let sound = sound.into_iter();
        let sound = sound.map(|(part, at)| SoundPart { part, age_ms: age_ms(at) }).collect();
        (evidence, sound)
    }

    /// The quarantine of a prompt with these parts that lasts longest; `None` if there is none.
    pub fn quarantine(&self, now: Timestamp, parts: &[PromptPart]) -> Option<Quarantine> {
        if self.quarantined.is_empty() {
            return None;
        }
        let now = now + TIME_BEFORE_START;
        let end = |part: &PromptPart| Some((self.quarantined.get(&part.id)?.until, part.id));
        let last = parts.iter().filter_map(end).max();
        last.map(|(until, part)| Quarantine {
            part,
            left: until.since(now),
            probers: self.probers(now, part, until),
        })
    }

    /// Number of instances that may send a probe of a part: all if it was sound, else one at first.
    fn probers(&self, now: Timestamp, part: u64, until: Timestamp) -> usize {
        if now < until {
            return 0;
        }
        if self.sound.contains_key(&part) {
            return usize::MAX;
        }
        let over = now.since(until).as_millis() / PROBER_DOUBLING_TIME.as_millis();
        1 << over.min(MAX_PROBER_DOUBLINGS)
    }

    /// Number of parts that are quarantined.
    pub fn quarantined_count(&self) -> usize {
        self.quarantined.len()
    }

    /// Whether a request may be sent as the probe of a part whose quarantine is over. Only its
    /// probers should ask; a probe without an outcome is repeated after a while.
    pub fn try_probe(&mut self, now: Timestamp, part: u64) -> bool {
        let was_sound = self.sound.contains_key(&part);
        let interval = if was_sound { SOUND_PROBE_INTERVAL } else { QUARANTINE_TIME };
        if self.probed.get(&part).is_some_and(|at| now.since(*at) < interval) {
            return false;
        }
        self.probed.insert(part, now);
        true
    }

    /// Whether a request with these parts may be sent again after its replica crashed.
    pub fn may_retry(&self, parts: &[PromptPart]) -> bool {
        let none = HashMap::new();
        let is_suspect = |part: &PromptPart| {
            !self.sound.contains_key(&part.id)
                && self.suspects.get(&part.id).is_some_and(|s| s.score(&none) >= RETRY_SCORE)
        };
        !parts.iter().any(|part| self.quarantined.contains_key(&part.id) || is_suspect(part))
    }

    fn add_crash(&mut self, now: Timestamp, item: &CrashEvidence) -> bool {
        let at = now - Duration::from_millis(item.age_ms);
        if self.sound.get(&item.part).is_some_and(|sound| *sound >= at) {
            self.tell_sound(now, item.part);
            return false;
        }
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&item.part) {
            self.drop_least_suspect();
        }
        self.suspects.entry(item.part).or_default().add(now, at, item)
    }

    fn add_sound(&mut self, now: Timestamp, item: &SoundPart) -> bool {
        let at = now - Duration::from_millis(item.age_ms);
        if self.sound.len() >= MAX_SOUND {
            self.sound.retain(|_, known| now.since(*known) < EVIDENCE_TIME);
        }
        if self.sound.get(&item.part).is_some_and(|known| *known >= at) {
            return false;
        }
        if self.sound.len() < MAX_SOUND || self.sound.contains_key(&item.part) {
            self.sound.insert(item.part, at);
        }
        let Some(suspect) = self.suspects.get_mut(&item.part) else { return false };
        suspect.drop_until(at);
        self.tell_sound(now, item.part);
        true
    }

    /// Has peers told that a part is sound, as some of them may suspect it.
    fn tell_sound(&mut self, now: Timestamp, part: u64) {
        if self.cleared.len() >= MAX_SUSPECTS {
            self.cleared.retain(|_, since| now.since(*since) < SHARE_TIME);
        }
        self.cleared.insert(part, now);
    }

    fn drop_least_suspect(&mut self) {
        let free = self.suspects.iter().filter(|(part, _)| !self.quarantined.contains_key(*part));
        let rank = |suspect: &SuspectPart| (suspect.total_weight(), suspect.last_crash());
        let least = free.min_by_key(|(part, suspect)| (rank(suspect), **part));
        if let Some(part) = least.map(|(part, _)| *part) {
            self.suspects.remove(&part);
        }
    }

    /// Drops what is too old and works the quarantine out anew.
    fn update(&mut self, now: Timestamp) -> Vec<QuarantineChange> {
        self.suspects.retain(|_, suspect| now.since(suspect.last_crash()) < FORGET_TIME);
        let before = std::mem::take(&mut self.quarantined);
        self.quarantined = self.culprits();
        let quarantined = &self.quarantined;
        self.suspects.retain(|part, suspect| {
            if !quarantined.contains_key(part) {
                suspect.drop_until(now - EVIDENCE_TIME);
            }
            !suspect.is_empty()
        });
        self.probed.retain(|part, _| before.contains_key(part));
        let change = |part: &u64, quarantined| QuarantineChange {
            part: *part,
            quarantined,
            score: self.suspects.get(part).map_or(0, |s| s.score(&HashMap::new())),
        };
        let begun = self.quarantined.keys().filter(|part| !before.contains_key(*part));
        let ended = before.keys().filter(|part| !self.quarantined.contains_key(*part));
        let begun = begun.map(|part| change(part, true));
        begun.chain(ended.map(|part| change(part, false))).collect()
    }

    /// The fewest parts that explain the crashes, with the ends of their quarantines.
    fn culprits(&self) -> HashMap<u64, Culprit> {
        let mut culprits = HashMap::new();
        let mut explained = HashMap::new();
        // Of a crash at which a culprit was, nothing counts against a part that was sound.
        let mut settled = HashMap::new();
        loop {
            let rest = self.suspects.iter().filter(|(part, suspect)| {
                suspect.total_weight() >= QUARANTINE_SCORE && !culprits.contains_key(*part)
            });
            let scored = rest.map(|(part, suspect)| {
                let known = if self.sound.contains_key(part) { &settled } else { &explained };
                (suspect.score(known), *part, suspect)
            });
            let over = scored.filter(|(score, part, suspect)| {
                *score >= QUARANTINE_SCORE
                    || suspect.crashes_beside(&explained) >= REST_CRASHES
                        && !self.sound.contains_key(part)
                        && suspect.score(&HashMap::new()) >= QUARANTINE_SCORE
            });
            // A part that was never sound goes first. Of parts that were at the same crashes, it is
            // the one that was sound the longest time ago, then the one that fewer prompts share.
            let rank = |score: u32, part: u64, suspect: &SuspectPart| {
                let sound = self.sound.get(&part).copied();
                (sound.is_none(), score, Reverse(sound), suspect.position(), part)
            };
            let worst = over.max_by_key(|(score, part, suspect)| rank(*score, *part, suspect));
            let Some((_, part, suspect)) = worst else { return culprits };
            let standing = suspect.standing_crashes(&explained, QUARANTINE_SCORE);
            let until = if self.sound.contains_key(&part) {
                suspect.last_crash() + SOUND_PROBE_INTERVAL
            } else {
                suspect.quarantined_until()
            };
            culprits.insert(part, Culprit { until, standing });
            for (crash, weight) in suspect.weights() {
                let known: &mut u32 = explained.entry(crash).or_default();
                *known = weight.max(*known);
                settled.insert(crash, BEGUN_WEIGHT);
            }
        }
    }
}
