//! What a lease holder asks its instance to do.

use super::LeaseRelease;
use super::LeaseRequest;
use crate::names::InstanceName;

/// An action of a [`super::LeaseHolder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Ask a panel member for a grant.
    Ask {
        /// The panel member.
        to: InstanceName,
        /// What it is asked.
        request: LeaseRequest,
    },
    /// Tell a panel member that the lease is given up.
    Release {
        /// The panel member.
        to: InstanceName,
        /// What it is told.
        release: LeaseRelease,
    },
    /// The lease is newly held, or another instance fenced an engine: take the engines over.
    Acquired,
    /// The lease isn't held any more: send the engines nothing.
    Lost,
}
