//! What happened in a run, and the checks of it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tamaracklead::decide::traffic::CrashEvidence;
use tamaracklead::decide::traffic::PromptPart;
use tamaracklead::decide::traffic::QuarantineChange;
use tamaracklead::decide::traffic::SoundPart;
use tamaracklead::wire::frame::encode;

use super::instance::Instance;
use super::plan::Plan;
use super::prompt::FIRST;
use super::request::Request;
use super::world::MS;

/// Crash of a part from which on its requests and the sound ones are held to the bounds.
const KNOWN_CRASH: usize = 4;
/// Time after that crash from which on requests with the part count.
const BUDGET_AFTER_US: u64 = 3_000 * MS;
/// Most requests with the part that reach replicas from then on.
const BUDGET: usize = 3;
/// Time after that crash from which on sound requests begin again.
const LOST_AFTER_US: u64 = 6_000 * MS;
/// Time at the beginning in which no response has begun yet.
const WARM_UP_US: u64 = 1_000 * MS;
/// Time at the end in which requests may still wait.
const COOL_DOWN_US: u64 = 2_500 * MS;
/// Longest time for which a sound part may be quarantined.
const MAX_SOUND_QUARANTINE_US: u64 = 3_000 * MS;
/// Time after its last crash for which a part that isn't known may cause mistakes.
const UNKNOWN_TIME_US: u64 = 10_000 * MS;
/// Fewest requests in a window for it to count.
const MIN_WINDOW_REQUESTS: usize = 20;
/// Length of a window.
const WINDOW_US: u64 = 5_000 * MS;
/// Bytes of a message without evidence: two empty lists and the tuple of them.
pub const EMPTY_BYTES: usize = 3;

/// A request with a crashing part that reached a replica.
#[derive(Clone, Copy, Debug)]
struct BadSend {
    at: u64,
    in_touch: bool,
}

/// Sizes of the messages, measured if `TAMARACKLEAD_FUZZ_SIZES` is set.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bytes {
    pub most: usize,
    pub total: usize,
    pub messages: usize,
    /// Total and number in the last seconds of the run.
    pub late_total: usize,
    pub late_messages: usize,
    /// Items in these.
    pub late_crashes: usize,
    pub late_sound: usize,
}

/// Everything that the checks need.
#[derive(Debug)]
pub struct Record {
    pub bytes: Bytes,
    pub trace: Vec<String>,
    pub faults: Vec<String>,
    is_measured: bool,
    bad_ids: Vec<u64>,
    run_us: u64,
    sends: Vec<Vec<BadSend>>,
    crashes: Vec<Vec<u64>>,
    suspects: BTreeSet<u64>,
    since: BTreeMap<(usize, u32, u64), u64>,
    sound: Vec<(u64, bool)>,
}

impl Record {
    /// Nothing has happened yet.
    pub fn new(plan: &Plan) -> Self {
        Self {
            is_measured: std::env::var("TAMARACKLEAD_FUZZ_SIZES").is_ok(),
            bytes: Bytes::default(),
            trace: Vec::new(),
            faults: Vec::new(),
            bad_ids: plan.bad.iter().map(|bad| bad.id).collect(),
            run_us: plan.run_ms * MS,
            sends: vec![Vec::new(); plan.bad.len()],
            crashes: vec![Vec::new(); plan.bad.len()],
            suspects: BTreeSet::new(),
            since: BTreeMap::new(),
            sound: Vec::new(),
        }
    }

    /// Adds a line to the trace.
    pub fn note(&mut self, now: u64, text: impl FnOnce() -> String) {
        self.trace.push(format!("{:>8.3} s  {}", now as f64 / 1e6, text()));
    }

    /// A request with a crashing part is sent.
    pub fn on_bad_send(&mut self, at: u64, bad: usize, from: usize, to: usize, in_touch: bool) {
        self.sends[bad].push(BadSend { at, in_touch });
        let id = self.bad_ids[bad];
        self.note(at, || format!("i{from} sends part {id} to r{to}, in touch: {in_touch}"));
    }

    /// A replica crashes.
    pub fn on_crash(&mut self, at: u64, replica: usize, bad: Option<usize>) {
        let cause = bad.map_or(0, |bad| self.bad_ids[bad]);
        if let Some(bad) = bad {
            self.crashes[bad].push(at);
        }
        let count = bad.map_or(0, |bad| self.crashes[bad].len());
        self.note(at, || format!("r{replica} crashes, by part {cause}, number {count}"));
    }

    /// A part is quarantined or released.
    pub fn on_change(&mut self, at: u64, instance: usize, change: &QuarantineChange) {
        let QuarantineChange { part, quarantined, score } = *change;
        self.suspects.insert(part);
        let what = if quarantined { "quarantines" } else { "releases" };
        self.note(at, || format!("i{instance} {what} part {part}, score {score}"));
    }

    /// An instance sends a message.
    pub fn on_message(&mut self, at: u64, evidence: &[CrashEvidence], sound: &[SoundPart]) {
        if !self.is_measured {
            return;
        }
        let is_empty = evidence.is_empty() && sound.is_empty();
        let size = if is_empty { EMPTY_BYTES } else { encode(&(evidence, sound)).unwrap().len() };
        self.bytes.most = self.bytes.most.max(size);
        self.bytes.total += size;
        self.bytes.messages += 1;
        if at + WINDOW_US > self.run_us {
            self.bytes.late_total += size;
            self.bytes.late_messages += 1;
            self.bytes.late_crashes += evidence.len();
            self.bytes.late_sound += sound.len();
        }
    }

    /// Looks for sound parts that stay quarantined.
    pub fn sample(&mut self, now: u64, instances: &[Instance]) {
        let sound: Vec<u64> =
            self.suspects.iter().filter(|id| !self.bad_ids.contains(*id)).copied().collect();
        for (index, instance) in instances.iter().enumerate() {
            let is_held = instance.serves
                && instance.is_in_touch(now)
                && now >= instance.paused_until
                && self.knows_bad_parts(now, instance);
            for part in &sound {
                let key = (index, instance.life, *part);
                if !is_held || !is_quarantined(now, instance, *part) {
                    self.since.remove(&key);
                    continue;
                }
                let since = *self.since.entry(key).or_insert(now);
                if now - since > MAX_SOUND_QUARANTINE_US {
                    let text = format!("sound part {part} stays quarantined at i{index}");
                    self.note(now, || text.clone());
                    self.faults.push(text);
                    self.since.insert(key, now);
                }
            }
        }
    }

    /// Whether an instance has quarantined every part that crashed replicas lately.
    fn knows_bad_parts(&self, now: u64, instance: &Instance) -> bool {
        self.bad_ids.iter().zip(&self.crashes).all(|(id, crashes)| {
            crashes.last().is_none_or(|at| now - at > UNKNOWN_TIME_US)
                || is_quarantined(now, instance, *id)
        })
    }

    /// Adds the sound requests with the same first part.
    pub fn add_requests(&mut self, requests: &[Request]) {
        let sound = requests.iter().filter(|r| r.bad.is_none() && !r.is_void);
        let alike = sound.filter(|r| r.parts[0].id == FIRST);
        self.sound = alike.map(|r| (r.arrived, r.began_at_once)).collect();
    }

    /// Faults of the whole run.
    pub fn check(&mut self) {
        for bad in 0..self.bad_ids.len() {
            let Some(known) = self.crashes[bad].get(KNOWN_CRASH).copied() else { continue };
            let id = self.bad_ids[bad];
            let late = |send: &&BadSend| send.in_touch && send.at > known + BUDGET_AFTER_US;
            let count = self.sends[bad].iter().filter(late).count();
            if count > BUDGET {
                self.faults.push(format!("BUDGET: {count} requests with part {id} reach replicas"));
            }
            self.check_lost(known + LOST_AFTER_US);
        }
    }

    fn check_lost(&mut self, from: u64) {
        let first = self.crashes.iter().flatten().min().copied().unwrap_or(u64::MAX);
        let Some(usual) = self.begun_share(WARM_UP_US, first.saturating_sub(WARM_UP_US * 2)) else {
            return;
        };
        let end = self.run_us - COOL_DOWN_US;
        let mut at = from;
        while at < end {
            let until = (at + WINDOW_US).min(end);
            if let Some(share) = self.begun_share(at, until).filter(|share| share * 2.0 < usual) {
                let from = at as f64 / 1e6;
                let text = format!("LOST: {share:.2} of {usual:.2} begin from {from:.1} s on");
                self.faults.push(text);
            }
            at = until;
        }
    }

    fn begun_share(&self, from: u64, until: u64) -> Option<f64> {
        let all = self.sound.iter().filter(|(at, _)| (from..until).contains(at));
        let (count, begun) =
            all.fold((0, 0), |(all, begun), (_, is)| (all + 1, begun + usize::from(*is)));
        (count >= MIN_WINDOW_REQUESTS).then(|| begun as f64 / count as f64)
    }
}

fn is_quarantined(now: u64, instance: &Instance, part: u64) -> bool {
    let part = PromptPart { id: part, tokens: 1 };
    instance.guard.quarantine(instance.time(now), &[part]).is_some()
}
