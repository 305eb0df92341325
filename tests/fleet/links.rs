//! Messages between instances, and calls to the configuration service.

use bytes::Bytes;
use rand::Rng;
use tamaracklead::decide::config::ConfigSource;
use tamaracklead::decide::config::ServiceAnswer;
use tamaracklead::decide::config::WATCH_WAIT;
use tamaracklead::names::Generation;
use tamaracklead::names::InstanceName;
use tamaracklead::wire::frame;
use tamaracklead::wire::gossip::Gossip;
use tamaracklead::wire::gossip::GossipReply;
use tamaracklead::wire::published::PageRef;

use super::Event;
use super::SECOND;
use super::TICK;
use super::World;
use super::name;

/// Time after which a call between instances counts as failed.
const CALL_LIMIT: u64 = SECOND;

impl World {
    pub(super) fn send_gossip(&mut self, from: usize, to: usize, call: u64, message: Gossip) {
        self.sent_bytes += frame::encode(&message).unwrap().len() as u64;
        self.sent_messages += 1;
        let from_inc = self.nodes[from].incarnation;
        if self.is_lost(from, to) {
            self.schedule(from, CALL_LIMIT, Event::Answer { from: to, call, answer: None });
            return;
        }
        if self.rng.random_range(0..100) < self.duplicate_percent {
            let delay = self.delay() * 4;
            let message = message.clone();
            let copy = Event::Gossip { from, from_inc, call, message, answers: false };
            self.schedule(to, delay, copy);
        }
        let delay = self.delay();
        self.schedule(to, delay, Event::Gossip { from, from_inc, call, message, answers: true });
    }

    pub(super) fn answer_gossip(
        &mut self,
        from: usize,
        to: usize,
        to_inc: u64,
        call: u64,
        answer: GossipReply,
    ) {
        self.sent_bytes += frame::encode(&answer).unwrap().len() as u64;
        self.sent_messages += 1;
        let lost = self.is_lost(from, to);
        let (delay, answer) = if lost { (CALL_LIMIT, None) } else { (self.delay(), Some(answer)) };
        self.schedule_for(to, to_inc, delay, Event::Answer { from, call, answer });
    }

    pub(super) fn read_peer(&mut self, index: usize, peer: &InstanceName, page: Option<PageRef>) {
        let to = self.nodes.iter().position(|node| &name(node.index) == peer).unwrap();
        let from_inc = self.nodes[index].incarnation;
        if self.is_lost(index, to) {
            self.answer_read_with(to, index, from_inc, page, None, CALL_LIMIT);
            return;
        }
        let delay = self.delay();
        self.schedule(to, delay, Event::ReadPeer { from: index, from_inc, page });
    }

    pub(super) fn answer_read(
        &mut self,
        from: usize,
        to: usize,
        to_inc: u64,
        page: Option<PageRef>,
        bytes: Option<Bytes>,
    ) {
        let lost = self.is_lost(from, to);
        let (delay, bytes) = if lost { (CALL_LIMIT, None) } else { (self.delay(), bytes) };
        self.answer_read_with(from, to, to_inc, page, bytes, delay);
    }

    fn answer_read_with(
        &mut self,
        from: usize,
        to: usize,
        to_inc: u64,
        page: Option<PageRef>,
        bytes: Option<Bytes>,
        delay: u64,
    ) {
        let event = match page {
            None => Event::PeerRoot { from, bytes },
            Some(page) => Event::Page { from: ConfigSource::Peer(name(from)), page, bytes },
        };
        self.schedule_for(to, to_inc, delay, event);
    }

    pub(super) fn read_service(&mut self, index: usize, call: u64, after: Option<Generation>) {
        let Some(after) = after else {
            let answer = self.platform.service.read(None);
            let delay = self.delay();
            self.schedule(index, delay, Event::Service { call, answer });
            return;
        };
        self.platform.service.root_calls += 1;
        let until = self.now + WATCH_WAIT.as_micros() as u64;
        self.watch(index, call, after, until);
    }

    pub(super) fn watch(&mut self, index: usize, call: u64, after: Generation, until: u64) {
        let calls = self.platform.service.root_calls;
        let answer = self.platform.service.read(Some(after));
        self.platform.service.root_calls = calls;
        if answer == ServiceAnswer::Unchanged && self.now < until {
            self.schedule(index, TICK, Event::Watch { call, after, until });
            return;
        }
        let delay = self.delay();
        self.schedule(index, delay, Event::Service { call, answer });
    }
}
