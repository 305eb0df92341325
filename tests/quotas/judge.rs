//! Record of a run, and the checks of every run.

use crate::account_load::AccountLoad;
use crate::plan::Plan;

/// Window in which a quota holds, in ms.
const WINDOW_MS: u64 = 8_000;
/// Time after the start of a process in which it doesn't know the fleet, in ms.
pub const JOIN_MS: u64 = 1_500;
/// Time after a limit is lowered within which all instances know it, in ms.
pub const LIMIT_KNOWN_MS: u64 = 500;

/// Outcome of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ran,
    OverQuota,
    Unavailable,
    NotRun,
}

/// What became of one request, at the time in ms at which it was decided.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub account: usize,
    pub arrived_ms: u64,
    pub decided_ms: u64,
    pub cost: u64,
    pub outcome: Outcome,
}

/// A whole run.
pub struct Report {
    pub plan: Plan,
    pub records: Vec<Record>,
    pub calls: u64,
    pub bytes: u64,
}

impl Report {
    /// Checks that no window admits more than the limit with its tolerance; returns the largest
    /// part of that bound that any window used.
    pub fn check_windows(&self) -> f64 {
        let mut worst: f64 = 0.0;
        for (account, load) in self.plan.loads.iter().enumerate() {
            let mut ran: Vec<(u64, u64)> = self
                .records
                .iter()
                .filter(|record| record.account == account && record.outcome == Outcome::Ran)
                .map(|record| (record.decided_ms, record.cost))
                .collect();
            ran.sort_unstable();
            worst = worst.max(self.check_account(account, load, &ran));
        }
        worst
    }

    fn check_account(&self, account: usize, load: &AccountLoad, ran: &[(u64, u64)]) -> f64 {
        let mut worst: f64 = 0.0;
        let (mut sum, mut end) = (0, 0);
        for (first, (from, cost)) in ran.iter().enumerate() {
            while let Some((at, cost)) = ran.get(end).filter(|(at, _)| *at < from + WINDOW_MS) {
                assert!(at >= from);
                sum += cost;
                end += 1;
            }
            let bound = self.bound(load, *from);
            assert!(
                sum as f64 <= bound,
                "seed {}, account {account} with {} tokens/s: {sum} tokens in the window from \
                 {from} ms on, above {bound:.0} (request {first})",
                self.plan.seed,
                load.rate,
            );
            worst = worst.max(sum as f64 / bound);
            sum -= cost;
        }
        worst
    }

    fn bound(&self, load: &AccountLoad, from_ms: u64) -> f64 {
        let factor = match self.plan.limits_change {
            Some((at, factor)) if from_ms >= at + LIMIT_KNOWN_MS => factor,
            Some((_, factor)) => factor.max(1.0),
            None => 1.0,
        };
        let quota = load.quota();
        (quota.rate * 8.0 + quota.burst) * factor * 1.25 + 110_000.0
    }

    /// Parts of requests and of tokens of these accounts that were admitted, the smaller of both,
    /// of those that arrived in a span.
    pub fn admitted(&self, accounts: impl Fn(usize) -> bool, from_ms: u64, until_ms: u64) -> f64 {
        let (mut asked, mut admitted) = ([0.0; 2], [0.0; 2]);
        let span = from_ms..until_ms;
        for record in self.records.iter().filter(|record| span.contains(&record.arrived_ms)) {
            if !accounts(record.account) {
                continue;
            }
            let is_admitted = matches!(record.outcome, Outcome::Ran | Outcome::NotRun);
            for (index, part) in [1.0, record.cost as f64].into_iter().enumerate() {
                asked[index] += part;
                admitted[index] += if is_admitted { part } else { 0.0 };
            }
        }
        (admitted[0] / asked[0]).min(admitted[1] / asked[1])
    }

    /// Smallest admitted part of any account.
    pub fn least_admitted(&self, from_ms: u64, until_ms: u64) -> f64 {
        let parts = (0..self.plan.loads.len())
            .map(|account| self.admitted(|other| other == account, from_ms, until_ms));
        parts.filter(|part| part.is_finite()).fold(1.0, f64::min)
    }

    /// Part of the requests in this range of costs that were admitted from `from_ms` on.
    pub fn admitted_costs(&self, least: u64, most: u64, from_ms: u64) -> f64 {
        let asked = self
            .records
            .iter()
            .filter(|record| (least..most).contains(&record.cost) && record.arrived_ms >= from_ms);
        let is_admitted =
            |record: &&Record| matches!(record.outcome, Outcome::Ran | Outcome::NotRun);
        asked.clone().filter(is_admitted).count() as f64 / asked.count() as f64
    }

    /// Bytes of calls per second and instance, while all instances serve requests.
    pub fn bytes_per_s(&self) -> f64 {
        self.bytes as f64 / self.served_s() / self.plan.instances as f64
    }

    /// Time in which there are calls: not while the instances join.
    fn served_s(&self) -> f64 {
        (self.plan.run_ms - JOIN_MS) as f64 / 1_000.0
    }

    /// Parts of the requests that had these outcomes, for a failed check.
    pub fn summary(&self) -> String {
        let part = |outcome| {
            let count = self.records.iter().filter(|record| record.outcome == outcome).count();
            count as f64 / self.records.len() as f64
        };
        format!(
            "seed {}, {} instances: ran {:.4}, over quota {:.4}, unavailable {:.4}, {:.0} B/s, \
             {:.2} calls/s",
            self.plan.seed,
            self.plan.instances,
            part(Outcome::Ran),
            part(Outcome::OverQuota),
            part(Outcome::Unavailable),
            self.bytes_per_s(),
            self.calls as f64 / self.served_s() / self.plan.instances as f64,
        )
    }
}
