//! What one instance may use of one account's quota.

use std::time::Duration;

use super::ChargeStep;
use super::LoanAsk;
use super::LoanReply;
use crate::decide::accounts::Quota;
use crate::names::AccountName;
use crate::names::Timestamp;

/// Time for which a loan may be used, from the ask on.
const LOAN_LIFE: Duration = Duration::from_secs(1);
/// Time until the next ask when the counting instance doesn't answer.
const NO_REPLY_WAIT: Duration = Duration::from_secs(1);

/// Loans of one instance for one account.
#[derive(Clone, Debug)]
pub struct QuotaBalance {
    account: AccountName,
    lent: f64,
    expires: Timestamp,
    asked_at: Option<Timestamp>,
    refused_until: Timestamp,
    unanswered_until: Timestamp,
    utilisation: f32,
}

impl QuotaBalance {
    /// A balance without loans.
    pub fn new(account: AccountName) -> Self {
        Self {
            account,
            lent: 0.0,
            expires: Timestamp::ZERO,
            asked_at: None,
            refused_until: Timestamp::ZERO,
            unanswered_until: Timestamp::ZERO,
            utilisation: 0.0,
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
        _quota: &Quota,
        own_share: Option<f64>,
        cost: u64,
    ) -> ChargeStep {
        if own_share.is_none() {
            return ChargeStep::Unavailable(NO_REPLY_WAIT);
        }
        if now >= self.expires {
            self.lent = 0.0;
        }
        if self.lent >= cost as f64 {
            self.lent -= cost as f64;
            return ChargeStep::Charged;
        }
        if now < self.refused_until {
            return ChargeStep::Denied(self.refused_until.since(now));
        }
        if now < self.unanswered_until {
            return ChargeStep::Unavailable(self.unanswered_until.since(now));
        }
        if self.asked_at.is_some() {
            return ChargeStep::AwaitReply;
        }
        self.asked_at = Some(now);
        let needed = cost - self.lent as u64;
        ChargeStep::Ask(LoanAsk { account: self.account.clone(), needed, wanted: needed })
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
            self.unanswered_until = now + NO_REPLY_WAIT;
            return;
        };
        self.utilisation = reply.utilisation;
        if reply.granted == 0 {
            self.refused_until = now + Duration::from_millis(reply.wait_ms);
            return;
        }
        self.lent += reply.granted as f64;
        self.expires = asked_at + LOAN_LIFE;
    }

    /// Gives back the cost of a request that was charged and hasn't run.
    pub fn refund(&mut self, now: Timestamp, cost: u64) {
        if now < self.expires {
            self.lent += cost as f64;
        }
    }

    /// An ask ahead of demand, if one is due; called every 100 ms or so. [`Self::on_reply`] is to
    /// be called as after [`Self::charge`].
    pub fn refill(&mut self, _now: Timestamp, _quota: &Quota) -> Option<LoanAsk> {
        None
    }

    /// Forgets all loans, as the process was paused: they may have expired.
    pub fn on_pause(&mut self, _now: Timestamp) {
        self.lent = 0.0;
        self.asked_at = None;
    }

    /// Share of the quota that the account uses over all instances, as the last reply said.
    pub fn utilisation(&self, _now: Timestamp) -> f32 {
        self.utilisation
    }

    /// What may be used now without an ask, in units of the quota.
    pub fn balance(&self, now: Timestamp) -> u64 {
        if now < self.expires { self.lent as u64 } else { 0 }
    }

    /// Whether a new balance would serve as well, as there was no demand lately.
    pub fn is_unneeded(&self, now: Timestamp) -> bool {
        self.asked_at.is_none() && now >= self.expires && now >= self.refused_until
    }
}
