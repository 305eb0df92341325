//! Oracle: invariants on applied configurations and on the work that would be dispatched.
//!
//! No instance reverts to an older generation. None is ready with a generation
//! below one that a peer without faults, which it knew or saw listed, held when
//! it began to ask. None goes on dispatching to a backend server that is leaving.

use tamaracklead::names::BackendName;
use tamaracklead::names::Incarnation;
use tamaracklead::wire::gossip::LeavingBackend;
use tamaracklead::wire::listing::ListedState;
use tamaracklead::wire::listing::Listing;

use super::Node;
use super::SECOND;
use super::World;

/// Time within which all instances stop dispatching to a leaving backend server, in microseconds.
const MAX_LEAVING_DELAY: u64 = 3 * SECOND;
/// Time within which all connected instances hold the highest generation, in microseconds.
pub const SETTLE_TIME: u64 = 16 * SECOND;

impl World {
    /// Ends all faults but a lagging list and a stale or stopped service, then runs until the fleet
    /// must have converged.
    pub fn settle(&mut self) {
        self.heal();
        self.loss_percent = 0;
        self.duplicate_percent = 0;
        self.platform.set_list_down(self.now, false);
        let thawed = self.nodes.iter().map(|node| node.frozen_until).max().unwrap_or(0);
        let frozen_for = thawed.saturating_sub(self.now);
        self.run(frozen_for + SETTLE_TIME);
    }

    /// Checks that all running instances have converged; called after [`Self::settle`].
    pub fn check_settled(&self) {
        let up = || self.nodes.iter().filter(|node| node.alive);
        let held = up().filter_map(|node| node.generation()).max();
        let service = &self.platform.service;
        let sound = !service.down && !service.page_missing && !service.page_damaged;
        let shown = service.history.get(service.shown).map(|shown| shown.generation.0);
        let wanted = if sound { held.max(shown) } else { held };
        for node in up() {
            let name = node.index;
            assert_eq!(node.generation(), wanted, "entry-{name} after all faults have ended");
            let id = node.view.config().id();
            let rival = up().any(|other| other.view.config().id() != id);
            if rival {
                assert!(node.view.config().in_conflict(), "entry-{name}: conflict not alarmed");
            }
            if wanted.is_some() {
                assert!(node.view.is_ready(), "entry-{name} is not ready");
            }
        }
        self.check_settled_backends();
    }

    fn check_settled_backends(&self) {
        let Some(truth) = self.platform.truth.backends.first() else { return };
        let Some(inc) = truth.incarnation else { return };
        let is_marked_leaving = |node: &Node| {
            let backends = node.view.backends();
            let known = backends.get(&truth.name).and_then(|known| known.incarnation);
            known == Some(inc) && !backends.may_get_work(&truth.name)
        };
        // A mark that only stopped instances had heard of is lost with them.
        let is_known_leaving = self.nodes.iter().any(|node| node.alive && is_marked_leaving(node));
        for node in self.nodes.iter().filter(|node| node.alive) {
            let may_dispatch = self.may_dispatch(node.index);
            let index = node.index;
            let known = node.view.backends().get(&truth.name).and_then(|known| known.incarnation);
            if is_known_leaving && known == Some(inc) {
                assert!(!may_dispatch, "entry-{index} dispatches to a leaving backend server");
            }
            let listed = !self.platform.lagging && !self.platform.list_down;
            if listed && !is_known_leaving && truth.state == ListedState::Live {
                assert!(may_dispatch, "entry-{index} refuses a live backend server");
            }
        }
    }

    pub(super) fn record_leaving(&mut self, name: &str, incarnation: u64) {
        self.first_leaving.entry((name.to_owned(), incarnation)).or_insert(self.now);
    }

    pub(super) fn record_listing(&mut self, listing: &Listing) {
        for backend in &listing.backends {
            if backend.state == ListedState::Leaving
                && let Some(inc) = backend.incarnation
            {
                self.record_leaving(backend.name.as_str(), inc.0);
            }
        }
    }

    pub(super) fn record_rejoin_start(&mut self, index: usize) {
        let now = self.now;
        let holders = self
            .nodes
            .iter()
            .filter(|node| node.index != index && node.is_running(now))
            .filter(|node| node.partition_group == self.nodes[index].partition_group)
            .filter_map(|node| Some((node.index, node.incarnation, node.generation()?)))
            .collect();
        let record = &mut self.nodes[index].oracle_record;
        record.rejoining_since = Some(now);
        record.holders = holders;
    }

    /// Checks the invariants of one instance; called after each of its events.
    pub(super) fn check(&mut self, index: usize) {
        self.check_never_reverts(index);
        self.check_ready(index);
        self.check_leaving(index);
    }

    fn check_never_reverts(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(id) = node.view.config().id() else {
            assert_eq!(node.oracle_record.applied, None, "entry-{index} lost its configuration");
            return;
        };
        if let Some(before) = node.oracle_record.applied {
            assert!(
                id == before || id.generation > before.generation,
                "entry-{index} went from {before:?} to {id:?}"
            );
        }
        node.oracle_record.applied = Some(id);
    }

    fn check_ready(&mut self, index: usize) {
        if !self.nodes[index].view.is_ready() {
            return;
        }
        let Some(since) = self.nodes[index].oracle_record.rejoining_since.take() else { return };
        if self.nodes[index].last_fault > since {
            return;
        }
        let generation = self.nodes[index].generation().unwrap_or(0);
        let holders = std::mem::take(&mut self.nodes[index].oracle_record.holders);
        for (holder, incarnation, held) in holders {
            let peer = &self.nodes[holder];
            let steady = peer.incarnation == incarnation && peer.last_fault < since && peer.alive;
            let listed = !self.platform.list_down && self.platform.list_changed <= since;
            let known = self.nodes[index].view.membership().get(&super::name(holder)).is_some();
            assert!(
                !(steady && (listed || known)) || generation >= held,
                "entry-{index} is ready with {generation} while entry-{holder} holds {held}"
            );
        }
    }

    fn check_leaving(&mut self, index: usize) {
        let name = BackendName::new("engine-0");
        let known = self.nodes[index].view.backends().get(&name);
        let Some(inc) = known.and_then(|known| known.incarnation) else { return };
        let may_dispatch = self.may_dispatch(index);
        let mark = LeavingBackend { name: name.clone(), inc: Some(Incarnation(inc.0)) };
        let Some(since) = self.first_leaving.get(&(name.as_str().to_owned(), inc.0)).copied()
        else {
            return;
        };
        let group = self.nodes[index].partition_group;
        let steady = || {
            self.nodes.iter().all(|node| node.last_fault < since && node.partition_group == group)
        };
        if may_dispatch
            && self.now >= since + MAX_LEAVING_DELAY
            && self.loss_percent == 0
            && steady()
        {
            let ago = (self.now - since) / 1000;
            panic!("entry-{index} dispatches to a backend server said to leave {ago} ms ago");
        }
        let node = &mut self.nodes[index];
        if !node.view.backends().may_get_work(&name) {
            node.oracle_record.refused_work.insert(mark);
        } else if may_dispatch {
            assert!(
                !node.oracle_record.refused_work.contains(&mark),
                "entry-{index} took a leaving backend server back"
            );
        }
    }
}
