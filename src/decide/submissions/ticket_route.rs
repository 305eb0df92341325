//! Which instance may answer a submission.

use super::Ticket;
use crate::names::Incarnation;
use crate::names::InstanceName;

/// Which instance may answer the submission of a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketRoute {
    /// This incarnation issued the ticket.
    Here,
    /// The named instance issued it, perhaps in an earlier incarnation.
    Forward(InstanceName),
    /// No instance can answer: the issuing process or instance isn't known any more.
    Gone,
}

impl TicketRoute {
    /// Finds the instance that may answer for `ticket`, asked by one incarnation of `name`.
    ///
    /// The view of the membership, `is_known`, only decides whom to ask. The instance
    /// that is asked answers for its own incarnation alone and never forwards again.
    pub fn of(
        ticket: &Ticket,
        name: &InstanceName,
        incarnation: Incarnation,
        is_known: impl Fn(&InstanceName) -> bool,
    ) -> Self {
        if &ticket.issuer == name {
            return if ticket.incarnation == incarnation { Self::Here } else { Self::Gone };
        }
        if is_known(&ticket.issuer) { Self::Forward(ticket.issuer.clone()) } else { Self::Gone }
    }
}
