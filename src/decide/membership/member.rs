//! One entry instance as another knows it.

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

/// One entry instance as known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address of its listener for peers.
    pub peer_addr: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Incarnation last heard of, if any.
    pub incarnation: Option<Incarnation>,
    /// Epoch of that incarnation.
    pub epoch: u64,
    /// What is believed of it; `None` until it has answered.
    pub status: Option<MemberStatus>,
    /// When the status was set.
    pub since: Timestamp,
    /// When it was last heard, if ever.
    pub heard: Option<Timestamp>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether the platform lists it.
    pub listed: bool,
    /// When the platform's list last showed it, or it was first heard of.
    pub last_listed: Timestamp,
    /// Configuration in effect there, as it last said.
    pub config: Option<ConfigId>,
    /// Whether its reads of the configuration service succeed.
    pub reads: bool,
    /// Whether a probe of a member that never answered has failed.
    pub unreachable: bool,
    /// When it was last asked while joining.
    pub asked: Option<Timestamp>,
    /// Whether it has answered since joining began.
    pub answered: bool,
}

impl Member {
    /// A member that is only listed.
    pub fn from_listing(now: Timestamp, entry: &ListedEntry) -> Self {
        Self {
            name: entry.name.clone(),
            peer_addr: entry.peer_addr,
            data_centre: entry.data_centre.clone(),
            incarnation: None,
            epoch: 0,
            status: None,
            since: now,
            heard: None,
            leaving: entry.state == ListedState::Leaving,
            listed: true,
            last_listed: now,
            config: None,
            reads: true,
            unreachable: false,
            asked: None,
            answered: false,
        }
    }

    /// A member that was heard of and hasn't answered yet.
    pub fn from_news(now: Timestamp, news: &MemberRecord) -> Self {
        Self {
            name: news.name.clone(),
            peer_addr: news.addr,
            data_centre: news.dc.clone(),
            incarnation: Some(news.inc),
            epoch: news.epoch,
            status: None,
            since: now,
            heard: None,
            leaving: news.draining,
            listed: false,
            last_listed: now,
            config: news.config,
            reads: news.reads,
            unreachable: false,
            asked: None,
            answered: false,
        }
    }

    /// The member as news for others, if its incarnation is known.
    pub fn news(&self) -> Option<MemberRecord> {
        Some(MemberRecord {
            name: self.name.clone(),
            addr: self.peer_addr,
            dc: self.data_centre.clone(),
            inc: self.incarnation?,
            epoch: self.epoch,
            status: self.status.unwrap_or(MemberStatus::Alive),
            draining: self.leaving,
            config: self.config,
            reads: self.reads,
        })
    }

    /// Whether it answers and takes new work.
    pub fn is_live(&self) -> bool {
        self.status == Some(MemberStatus::Alive) && !self.leaving
    }

    /// Whether it answers.
    pub fn is_alive(&self) -> bool {
        self.status == Some(MemberStatus::Alive)
    }

    /// Whether it is probed only now and then.
    pub fn is_lost(&self) -> bool {
        self.status == Some(MemberStatus::Dead) || (self.status.is_none() && self.unreachable)
    }

    /// Sets what is believed of it.
    pub fn set_status(&mut self, now: Timestamp, status: Option<MemberStatus>) {
        if self.status != status {
            self.status = status;
            self.since = now;
        }
    }
}
