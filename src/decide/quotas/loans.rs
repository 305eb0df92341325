//! Loans that one instance holds for one account.

use std::collections::VecDeque;
use std::time::Duration;

use crate::names::Timestamp;

/// Time for which a loan may be used, counted from the ask. It bounds what may be used in a window
/// beyond what was lent in it; a shorter one would need more calls.
pub const LOAN_LIFE: Duration = Duration::from_millis(1500);
/// Loans asked for within this time are merged, so that there are few.
const MERGE_TIME: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct Loan {
    left: u64,
    charged: u64,
    expires: Timestamp,
}

/// Loans in the order of their expiry.
#[derive(Clone, Debug, Default)]
pub struct Loans {
    all: VecDeque<Loan>,
}

impl Loans {
    /// Adds a loan that was asked for at `asked_at`.
    pub fn add(&mut self, asked_at: Timestamp, amount: u64) {
        let expires = asked_at + LOAN_LIFE;
        let is_near = |loan: &&mut Loan| expires.since(loan.expires) < MERGE_TIME;
        if let Some(last) = self.all.back_mut().filter(is_near) {
            last.left = last.left.saturating_add(amount);
            return;
        }
        self.all.push_back(Loan { left: amount, charged: 0, expires });
    }

    /// Ends loans that have expired; returns what was left of them.
    pub fn expire(&mut self, now: Timestamp) -> u64 {
        let mut unused: u64 = 0;
        while let Some(loan) = self.all.front().filter(|loan| now >= loan.expires) {
            unused = unused.saturating_add(loan.left);
            self.all.pop_front();
        }
        unused
    }

    /// What may be used now.
    pub fn left(&self, now: Timestamp) -> u64 {
        let live = self.all.iter().filter(|loan| now < loan.expires);
        live.fold(0, |sum, loan| sum.saturating_add(loan.left))
    }

    /// Charges `cost`, at most what is left, to the loans that expire first.
    pub fn charge(&mut self, now: Timestamp, cost: u64) {
        let mut open = cost;
        for loan in self.all.iter_mut().filter(|loan| now < loan.expires) {
            let part = open.min(loan.left);
            loan.left -= part;
            loan.charged += part;
            open -= part;
        }
    }

    /// Gives a cost back to the loans that it was charged to; nothing to those that have expired.
    pub fn refund(&mut self, now: Timestamp, cost: u64) {
        let mut open = cost;
        for loan in self.all.iter_mut().rev().filter(|loan| now < loan.expires) {
            let part = open.min(loan.charged);
            loan.charged -= part;
            loan.left += part;
            open -= part;
        }
    }

    /// Forgets all loans.
    pub fn clear(&mut self) {
        self.all.clear();
    }
}
