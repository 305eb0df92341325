//! Which entry instances are believed to be live.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::names::DataCentre;
use crate::names::Incarnation;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::listing::ListedEntry;
use crate::wire::listing::ListedState;

/// Time without a heartbeat after which an instance is believed to be gone.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);

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
    /// When it was last heard, if ever.
    pub heard: Option<Timestamp>,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// The entry instances that one instance knows of, itself left out.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<InstanceName, Member>,
}

impl Membership {
    /// Takes the platform's list, with this instance's own entry removed.
    pub fn on_listing(&mut self, listed: &[ListedEntry]) {
        let mut next = BTreeMap::new();
        for entry in listed {
            let known = self.members.remove(&entry.name);
            let member = Member {
                name: entry.name.clone(),
                peer_addr: entry.peer_addr,
                data_centre: entry.data_centre.clone(),
                incarnation: known.as_ref().and_then(|member| member.incarnation),
                heard: known.as_ref().and_then(|member| member.heard),
                leaving: entry.state == ListedState::Leaving
                    || known.is_some_and(|member| member.leaving),
            };
            next.insert(entry.name.clone(), member);
        }
        self.members = next;
    }

    /// Takes a heartbeat.
    pub fn on_heard(
        &mut self,
        now: Timestamp,
        name: &InstanceName,
        incarnation: Incarnation,
        leaving: bool,
    ) {
        let Some(member) = self.members.get_mut(name) else { return };
        member.leaving = leaving;
        member.incarnation = Some(incarnation);
        member.heard = Some(now);
    }

    /// Every known instance.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// One instance by name.
    pub fn get(&self, name: &InstanceName) -> Option<&Member> {
        self.members.get(name)
    }

    /// Instances heard of lately that take new work.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| {
            !member.leaving && member.heard.is_some_and(|heard| now.since(heard) < SUSPECT_AFTER)
        })
    }

    /// The instance with this incarnation, if it is known.
    pub fn by_incarnation(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.values().find(|member| member.incarnation == Some(incarnation))
    }
}
