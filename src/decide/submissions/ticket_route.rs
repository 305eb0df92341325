//! Which instance answers a submission.

use super::Ticket;
use crate::names::Incarnation;
use crate::names::InstanceName;

/// Which instance answers a submission with a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketRoute {
    /// This incarnation issued the ticket.
    Here,
    /// The named instance issued it, perhaps in an earlier incarnation.
    Forward(InstanceName),
    /// No known instance can answer.
    Gone,
}

impl TicketRoute {
    /// Finds the instance that answers for `ticket`.
    ///
    /// The view of the membership only decides whom to ask. Whoever is asked
    /// answers for its own incarnation alone and never forwards again.
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
