//! What one instance knows of another: its address, reported state and liveness.

use std::net::SocketAddr;

use crate::names::DataCentre;
use crate::names::Incarnation;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::gossip::ConfigId;
use crate::wire::gossip::MemberRecord;
use crate::wire::gossip::MemberStatus;
use crate::wire::listing::ListedEntry;
use crate::wire::listing::ListedState;

/// One entry instance as another one knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address of its peer listener.
    pub peer_addr: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Latest known incarnation of its process; `None` while it is only listed.
    pub incarnation: Option<Incarnation>,
    /// Latest known epoch; orders the records of it.
    pub epoch: u64,
    /// Liveness; `None` while unknown, until the incarnation reports itself directly (again after
    /// a pause of this process) or others report it suspect or dead.
    pub status: Option<MemberStatus>,
    /// When `status` last changed.
    pub status_since: Timestamp,
    /// When it last reported itself or another member last reached it; `None` if never.
    pub last_heard: Option<Timestamp>,
    /// Whether it is draining or listed as leaving, and so takes no new work.
    pub leaving: bool,
    /// Whether the platform's latest list shows it.
    pub listed: bool,
    /// When a platform list last showed it; if none has, when it was first heard of.
    pub last_listed: Timestamp,
    /// Configuration in effect there, as last reported.
    pub config: Option<ConfigId>,
    /// Whether it can reach the configuration service.
    pub config_service_reachable: bool,
    /// Whether a probe has failed while the status was unknown.
    pub unreachable: bool,
    /// When it was last sent a join message.
    pub join_asked_at: Option<Timestamp>,
    /// Whether it has answered a probe or join message since the start or the last pause.
    pub join_answered: bool,
}

impl Member {
    /// Creates a member known only from the platform's list.
    pub fn from_listing(now: Timestamp, entry: &ListedEntry) -> Self {
        Self {
            name: entry.name.clone(),
            peer_addr: entry.peer_addr,
            data_centre: entry.data_centre.clone(),
            incarnation: None,
            epoch: 0,
            status: None,
            status_since: now,
            last_heard: None,
            leaving: entry.state == ListedState::Leaving,
            listed: true,
            last_listed: now,
            config: None,
            config_service_reachable: true,
            unreachable: false,
            join_asked_at: None,
            join_answered: false,
        }
    }

    /// Creates a member that was heard of but hasn't answered yet.
    pub fn from_record(now: Timestamp, record: &MemberRecord) -> Self {
        Self {
            name: record.name.clone(),
            peer_addr: record.addr,
            data_centre: record.dc.clone(),
            incarnation: Some(record.inc),
            epoch: record.epoch,
            status: None,
            status_since: now,
            last_heard: None,
            leaving: record.draining,
            listed: false,
            last_listed: now,
            config: record.config,
            config_service_reachable: record.reads,
            unreachable: false,
            join_asked_at: None,
            join_answered: false,
        }
    }

    /// The member's record for others; `None` while its incarnation is unknown.
    pub fn record(&self) -> Option<MemberRecord> {
        Some(MemberRecord {
            name: self.name.clone(),
            addr: self.peer_addr,
            dc: self.data_centre.clone(),
            inc: self.incarnation?,
            epoch: self.epoch,
            status: self.status.unwrap_or(MemberStatus::Alive),
            draining: self.leaving,
            config: self.config,
            reads: self.config_service_reachable,
        })
    }

    /// Whether it is alive and takes new work.
    pub fn is_live(&self) -> bool {
        self.status == Some(MemberStatus::Alive) && !self.leaving
    }

    /// Whether its status is alive; it may be leaving.
    pub fn is_responding(&self) -> bool {
        self.status == Some(MemberStatus::Alive)
    }

    /// Whether it is left out of the regular probe rounds and only probed to reconnect.
    pub fn is_unresponsive(&self) -> bool {
        self.status == Some(MemberStatus::Dead) || (self.status.is_none() && self.unreachable)
    }

    /// Sets the status, and the time of the change if it differs.
    pub fn set_status(&mut self, now: Timestamp, status: Option<MemberStatus>) {
        if self.status != status {
            self.status = status;
            self.status_since = now;
        }
    }
}
