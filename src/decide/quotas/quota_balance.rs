//! What one instance may use of one account's quota.

use std::mem;
use std::time::Duration;

use super::ChargeStep;
use super::LoanAsk;
use super::LoanReply;
use super::demand_estimate::DemandEstimate;
use super::loans::Loans;
use super::quota_bucket::limits;
use crate::decide::accounts::Quota;
use crate::decide::token_bucket::TokenBucket;
use crate::names::AccountName;
use crate::names::Timestamp;

/// Time until the next ask when the counting instance hasn't answered twice. After the first time
/// it is asked again at once, as a single call may be lost.
const NO_REPLY_WAIT: Duration = Duration::from_secs(1);
/// Time after which an ask counts as unanswered, if nobody has said so.
const ASK_LIFE: Duration = Duration::from_secs(1);
/// Time beyond [`NO_REPLY_WAIT`] in which the own share goes on without an ask.
const OWN_SHARE_GRACE: Duration = Duration::from_millis(500);
/// Time after a refusal in which asks state all of the demand.
const SCARCE_TIME: Duration = Duration::from_secs(2);
/// Utilisation from which on asks state all of the demand.
const SCARCE_UTILISATION: f32 = 0.9;
/// Time after which a reply says nothing about the utilisation any more.
const UTILISATION_LIFE: Duration = Duration::from_secs(5);
/// Requests per second from which on loans ahead of demand are likely to be used.
const MIN_AHEAD_RATE: f64 = 0.2;
/// Requests per second from which on the balance is refilled in the background.
const MIN_REFILL_RATE: f64 = 6.0;
/// Balance below which it is refilled, as a time of recent demand, in seconds.
const REFILL_BELOW_S: f64 = 0.25;
/// Loans ahead of demand, as a time of recent demand, in seconds.
const AHEAD_S: f64 = 1.5;
/// Part of the mean cost from which on an ask ahead of demand joins another account's call.
const JOIN_PART: f64 = 0.4;
/// Unused tokens that may expire, as a part of those that were used.
const WASTE_PART: f64 = 0.6;
/// Time after a limit was lowered in which nothing is borrowed ahead of demand, as the counting
/// instance may not know the lower limit yet.
const LOWERED_TIME: Duration = Duration::from_secs(2);
/// Time without demand after which a balance is dropped.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Loans of one instance for one account.
#[derive(Clone, Debug)]
pub struct QuotaBalance {
    account: AccountName,
    loans: Loans,
    /// Rate and capacity of the quota as it was last.
    limits: (f64, f64),
    lowered_at: Option<Timestamp>,
    /// Part of the quota that is used while the counting instance doesn't answer.
    own: Option<TokenBucket>,
    demand: DemandEstimate,
    /// Requests that were charged, and those of them that were refunded.
    charged: DemandEstimate,
    refunded: DemandEstimate,
    /// Cost of the requests that wait for the reply.
    waiting: u64,
    /// Unused tokens that may still expire.
    waste_credit: f64,
    asked_at: Option<Timestamp>,
    demanded_at: Option<Timestamp>,
    refused_at: Option<Timestamp>,
    refused_until: Timestamp,
    unanswered_until: Timestamp,
    utilisation: f32,
    heard_at: Timestamp,
}

impl QuotaBalance {
    /// A balance without loans.
    pub fn new(account: AccountName) -> Self {
        Self {
            account,
            loans: Loans::default(),
            limits: (0.0, 0.0),
            lowered_at: None,
            own: None,
            demand: DemandEstimate::default(),
            charged: DemandEstimate::default(),
            refunded: DemandEstimate::default(),
            waiting: 0,
            waste_credit: 0.0,
            asked_at: None,
            demanded_at: None,
            refused_at: None,
            refused_until: Timestamp::ZERO,
            unanswered_until: Timestamp::ZERO,
            utilisation: 0.0,
            heard_at: Timestamp::ZERO,
        }
    }

    /// Charges a request. `own_share` is the part of the quota that this instance may use while
    /// the counting instance doesn't answer ([`FleetView::own_share`]); `None` as long as it doesn't
    /// know the fleet, that is, in the first 1.5 s of the process: requests are then refused.
    ///
    /// After `Ask`, [`Self::on_reply`] is to be called in any case, with `now` as its `asked_at`.
    ///
    /// [`FleetView::own_share`]: crate::decide::send_limits::FleetView::own_share
    pub fn charge(
        &mut self,
        now: Timestamp,
        quota: &Quota,
        own_share: Option<f64>,
        cost: u64,
    ) -> ChargeStep {
        let Some(own_share) = own_share else {
            return ChargeStep::Unavailable(NO_REPLY_WAIT);
        };
        self.expire(now);
        self.apply_limits(now, limits(quota, 1.0));
        let left = self.loans.left(now);
        // Requests that fit into what is left don't overtake larger ones that wait or were refused.
        let is_held = self.is_scarce(now) && (self.asked_at.is_some() || now < self.refused_until);
        if left >= cost && !is_held {
            self.loans.charge(now, cost);
            return self.charged(now, cost);
        }
        if now < self.refused_until {
            return self.refused(now, cost, ChargeStep::Denied(self.refused_until.since(now)));
        }
        if let Some(own) = &mut self.own {
            let (rate, capacity) = limits(quota, own_share);
            own.set_limits(now, rate, capacity);
            let is_due = now >= self.unanswered_until + OWN_SHARE_GRACE;
            let missing = cost.saturating_sub(left);
            if !is_due && own.level(now) >= missing as f64 {
                own.take(missing as f64);
                self.loans.charge(now, cost - missing);
                return self.charged(now, cost);
            }
        }
        if now < self.unanswered_until {
            let wait = self.unanswered_until.since(now);
            return self.refused(now, cost, ChargeStep::Unavailable(wait));
        }
        if self.asked_at.is_some() {
            self.waiting = self.waiting.saturating_add(cost);
            return ChargeStep::AwaitReply;
        }
        let ask = self.make_ask(now, cost.saturating_sub(left));
        ChargeStep::Ask(ask)
    }

    /// Records the reply to the ask that was made at `asked_at`; `None` if there was none, or if the
    /// instance that was asked doesn't count the account. A reply to an ask that has been given up
    /// changes nothing.
    pub fn on_reply(&mut self, now: Timestamp, asked_at: Timestamp, reply: Option<LoanReply>) {
        if self.asked_at != Some(asked_at) {
            return;
        }
        self.asked_at = None;
        let Some(reply) = reply else {
            let is_first = self.own.is_none();
            let wait = if is_first { Duration::ZERO } else { NO_REPLY_WAIT };
            self.unanswered_until = now + wait;
            self.own.get_or_insert_with(|| TokenBucket::new(now, 0.0, 0.0));
            return;
        };
        self.own = None;
        self.unanswered_until = now;
        self.utilisation = reply.utilisation;
        self.heard_at = now;
        if reply.granted > 0 {
            self.loans.add(asked_at, reply.granted);
        } else if reply.wait_ms > 0 {
            self.refused_at = Some(now);
            self.refused_until = now + Duration::from_millis(reply.wait_ms);
        }
    }

    /// Another instance counts the account now, so that it is worth asking at once.
    pub fn on_other_counter(&mut self, now: Timestamp) {
        self.unanswered_until = now.min(self.unanswered_until);
    }

    /// Gives back the cost of a request that was charged and hasn't run. Nothing is given back
    /// after the loan that it was charged to has expired.
    pub fn refund(&mut self, now: Timestamp, cost: u64) {
        self.refunded.add(now, cost);
        self.loans.refund(now, cost);
    }

    /// An ask ahead of demand, if one is due; called every 100 ms or so. [`Self::on_reply`] is to
    /// be called as after [`Self::charge`].
    pub fn refill(&mut self, now: Timestamp) -> Option<LoanAsk> {
        self.expire(now);
        if self.asked_at.is_some() || now < self.refused_until || now < self.unanswered_until {
            return None;
        }
        let low = self.demand.cost_per_s(now) * REFILL_BELOW_S;
        let is_frequent = self.demand.requests_per_s(now) >= MIN_REFILL_RATE;
        let is_low = (self.loans.left(now) as f64) < low;
        let is_recent = self.demanded_at.is_some_and(|at| now.since(at) < NO_REPLY_WAIT);
        let is_due = (is_frequent && is_low && !self.is_scarce(now)) || self.own.is_some();
        (is_due && is_recent).then(|| self.make_ask(now, 0))
    }

    /// An ask ahead of demand that is worth making along with a call that is made anyway. Called for
    /// the other accounts of a group after [`Self::charge`] has returned `Ask` for one of them.
    pub fn join_call(&mut self, now: Timestamp) -> Option<LoanAsk> {
        self.expire(now);
        let is_asking = self.asked_at.is_some() || now < self.unanswered_until;
        if is_asking || self.own.is_some() || self.is_scarce(now) {
            return None;
        }
        let is_worth_it = self.ahead(now) >= self.demand.mean_cost() * JOIN_PART;
        (is_worth_it && self.demand.mean_cost() > 0.0).then(|| self.make_ask(now, 0))
    }

    /// Forgets all loans, as the process was paused: they may have expired.
    pub fn on_pause(&mut self, now: Timestamp) {
        let account = self.account.clone();
        *self = Self { heard_at: now, ..Self::new(account) };
    }

    /// Share of the quota that the account uses over all instances, by the last reply. What was
    /// refunded here lately isn't counted as used.
    pub fn utilisation(&self, now: Timestamp) -> f32 {
        if now.since(self.heard_at) >= UTILISATION_LIFE {
            return 0.0;
        }
        let (mut charged, mut refunded) = (self.charged, self.refunded);
        let (charged, refunded) = (charged.cost_per_s(now), refunded.cost_per_s(now));
        let run = if charged > 0.0 { (1.0 - refunded / charged).clamp(0.0, 1.0) } else { 1.0 };
        self.utilisation * run as f32
    }

    /// What may be used now without an ask, in units of the quota.
    pub fn balance(&self, now: Timestamp) -> u64 {
        self.loans.left(now)
    }

    /// Whether it may be dropped, as there was no demand lately.
    pub fn is_unneeded(&self, now: Timestamp) -> bool {
        self.asked_at.is_none_or(|at| now.since(at) >= ASK_LIFE)
            && self.demanded_at.is_none_or(|at| now.since(at) >= IDLE_TIME)
            && now >= self.refused_until
    }

    /// Forgets loans of a limit that was lowered, as the lower one must hold for what follows.
    fn apply_limits(&mut self, now: Timestamp, limits: (f64, f64)) {
        let is_lower = limits.0 < self.limits.0 || limits.1 < self.limits.1;
        self.limits = limits;
        if is_lower {
            self.lowered_at = Some(now);
            self.loans.clear();
            self.asked_at = None;
        }
    }

    fn charged(&mut self, now: Timestamp, cost: u64) -> ChargeStep {
        self.note_demand(now, cost);
        self.charged.add(now, cost);
        self.waiting = self.waiting.saturating_sub(cost);
        let max = self.demand.cost_per_s(now) + 2.0 * self.demand.mean_cost();
        self.waste_credit = (self.waste_credit + cost as f64 * WASTE_PART).min(max);
        ChargeStep::Charged
    }

    fn refused(&mut self, now: Timestamp, cost: u64, step: ChargeStep) -> ChargeStep {
        self.note_demand(now, cost);
        step
    }

    fn note_demand(&mut self, now: Timestamp, cost: u64) {
        self.demand.add(now, cost);
        self.demanded_at = Some(now);
    }

    fn expire(&mut self, now: Timestamp) {
        self.waste_credit -= self.loans.expire(now) as f64;
        if self.asked_at.is_some_and(|at| now.since(at) >= ASK_LIFE) {
            self.asked_at = None;
        }
    }

    fn make_ask(&mut self, now: Timestamp, needed: u64) -> LoanAsk {
        self.asked_at = Some(now);
        self.demanded_at = self.demanded_at.or(Some(now));
        let waiting = mem::take(&mut self.waiting).saturating_sub(needed);
        let ahead = self.ahead(now).max(waiting as f64).min(1e18) as u64;
        LoanAsk { account: self.account.clone(), needed, wanted: needed.saturating_add(ahead) }
    }

    /// What is asked for beyond the need: of a scarce account the recent demand, else as much as
    /// is likely to be used before it expires.
    fn ahead(&mut self, now: Timestamp) -> f64 {
        if self.lowered_at.is_some_and(|at| now.since(at) < LOWERED_TIME) {
            return 0.0;
        }
        let cost_per_s = self.demand.cost_per_s(now);
        if self.is_scarce(now) {
            return cost_per_s;
        }
        if self.demand.requests_per_s(now) < MIN_AHEAD_RATE {
            return 0.0;
        }
        let target = (cost_per_s * AHEAD_S).max(self.demand.mean_cost());
        (target - self.loans.left(now) as f64).min(self.waste_credit).max(0.0)
    }

    fn is_scarce(&self, now: Timestamp) -> bool {
        let was_refused = self.refused_at.is_some_and(|at| now.since(at) < SCARCE_TIME);
        let is_used_up = self.utilisation >= SCARCE_UTILISATION;
        was_refused || (is_used_up && now.since(self.heard_at) < SCARCE_TIME)
    }
}
