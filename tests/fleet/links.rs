//! Simulated network: messages between instances, and calls to the configuration service.

use bytes::Bytes;
use rand::Rng;
use tamaracklead::decide::config::ConfigSource;
use tamaracklead::decide::config::ServiceReply;
use tamaracklead::decide::config::WATCH_WAIT;
use tamaracklead::names::Generation;
use tamaracklead::names::InstanceName;
use tamaracklead::wire::frame;
use tamaracklead::wire::gossip::Gossip;
use tamaracklead::wire::gossip::GossipReply;
use tamaracklead::wire::published::PageRef;

use super::Event;
use super::SECOND;
use super::TICK_INTERVAL;
use super::World;
use super::name;

/// Time after which a call whose request or reply was lost fails, in microseconds.
const CALL_TIMEOUT: u64 = SECOND;

impl World {
    pub(super) fn send_gossip(&mut self, from: usize, to: usize, call: u64, message: Gossip) {
        self.sent_bytes += frame::encode(&message).unwrap().len() as u64;
        self.sent_messages += 1;
        let from_inc = self.nodes[from].incarnation;
        if self.is_lost(from, to) {
            self.schedule(from, CALL_TIMEOUT, Event::GossipReplied { from: to, call, reply: None });
            return;
        }
        if self.rng.random_range(0..100) < self.duplicate_percent {
            let delay = self.delay() * 4;
            let message = message.clone();
            let copy = Event::Gossip { from, from_inc, call, message, expects_reply: false };
            self.schedule(to, delay, copy);
        }
        let delay = self.delay();
        self.schedule(
            to,
            delay,
            Event::Gossip { from, from_inc, call, message, expects_reply: true },
        );
    }

    pub(super) fn reply_to_gossip(
        &mut self,
        from: usize,
        to: usize,
        to_inc: u64,
        call: u64,
        reply: GossipReply,
    ) {
        self.sent_bytes += frame::encode(&reply).unwrap().len() as u64;
        self.sent_messages += 1;
        let lost = self.is_lost(from, to);
        let (delay, reply) = if lost { (CALL_TIMEOUT, None) } else { (self.delay(), Some(reply)) };
        self.schedule_for(to, to_inc, delay, Event::GossipReplied { from, call, reply });
    }

    pub(super) fn read_peer(&mut self, index: usize, peer: &InstanceName, page: Option<PageRef>) {
        let to = self.nodes.iter().position(|node| &name(node.index) == peer).unwrap();
        let from_inc = self.nodes[index].incarnation;
        if self.is_lost(index, to) {
            self.schedule_read_reply(to, index, from_inc, page, None, CALL_TIMEOUT);
            return;
        }
        let delay = self.delay();
        self.schedule(to, delay, Event::ReadPeer { from: index, from_inc, page });
    }

    pub(super) fn reply_to_read(
        &mut self,
        from: usize,
        to: usize,
        to_inc: u64,
        page: Option<PageRef>,
        bytes: Option<Bytes>,
    ) {
        let lost = self.is_lost(from, to);
        let (delay, bytes) = if lost { (CALL_TIMEOUT, None) } else { (self.delay(), bytes) };
        self.schedule_read_reply(from, to, to_inc, page, bytes, delay);
    }

    fn schedule_read_reply(
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

    pub(super) fn read_service_root(&mut self, index: usize, call: u64, after: Option<Generation>) {
        let Some(after) = after else {
            let reply = self.platform.service.read(None);
            let delay = self.delay();
            self.schedule(index, delay, Event::Service { call, reply });
            return;
        };
        self.platform.service.root_calls += 1;
        let until = self.now + WATCH_WAIT.as_micros() as u64;
        self.poll_watch(index, call, after, until);
    }

    pub(super) fn poll_watch(&mut self, index: usize, call: u64, after: Generation, until: u64) {
        let calls = self.platform.service.root_calls;
        let reply = self.platform.service.read(Some(after));
        self.platform.service.root_calls = calls;
        if reply == ServiceReply::Unchanged && self.now < until {
            self.schedule(index, TICK_INTERVAL, Event::Watch { call, after, until });
            return;
        }
        let delay = self.delay();
        self.schedule(index, delay, Event::Service { call, reply });
    }
}
