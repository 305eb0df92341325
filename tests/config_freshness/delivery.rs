//! Arrival of messages at instances and the store.

use rand::Rng;
use tamaracklead::names::Timestamp;

use crate::message::Message;
use crate::message::Read;
use crate::plan::Trouble;
use crate::world::Fault;
use crate::world::RETRY_MS;
use crate::world::TICK_MS;
use crate::world::World;

const PEER_TIMEOUT_MS: u64 = 600;
/// Time within which a reader lists a restored store anew.
const RELIST_SPREAD_MS: u64 = 250;
/// Age of a first listing at most.
const OLD_LISTING_MS: u64 = 4000;

impl World {
    /// Delivers what arrives now.
    pub fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.ms {
                return;
            }
            let envelope = entry.remove();
            let to = envelope.to;
            if envelope.start != self.instances[to].started {
                continue;
            }
            if let Message::StoreCall { asked_at, known, answer_at, kind } = envelope.message {
                self.answer_at_store(to, asked_at, known, answer_at, kind);
            } else if self.has(to, Trouble::Paused) {
                // It remains in the socket.
                self.send(to, envelope.start, self.ms + TICK_MS, envelope.message);
            } else if self.is_running(to) {
                self.receive(to, envelope.message);
            }
        }
    }

    fn answer_at_store(
        &mut self,
        to: usize,
        asked_at: Timestamp,
        known: u64,
        answer_at: u64,
        kind: Read,
    ) {
        let start = self.instances[to].started;
        if !self.reaches_store(to) {
            return;
        }
        if self.ms < answer_at && self.store.version <= known {
            let message = Message::StoreCall { asked_at, known, answer_at, kind };
            self.send(to, start, self.ms + TICK_MS, message);
            return;
        }
        let (mut version, era) = (self.store.version, self.store.era + 1);
        if kind == Read::OldListing && self.store.era == 0 {
            let age = self.rng.random_range(0..OLD_LISTING_MS);
            version = self.past_versions[(self.ms.saturating_sub(age) / TICK_MS) as usize];
        }
        let delay = self.rng.random_range(1..60);
        let answer = Message::StoreAnswer { asked_at, version, era, kind };
        self.send(to, start, self.ms + delay, answer);
    }

    fn receive(&mut self, me: usize, message: Message) {
        let was_paused_until = self.instances[me].was_paused_until;
        match message {
            Message::StoreCall { .. } => {}
            Message::StoreAnswer { asked_at, version, era, kind } => {
                let Some(until) = self.instances[me].reading_until else { return };
                // After a pause, an answer may be read although its time is over.
                if self.ms > until && was_paused_until < until {
                    return;
                }
                self.on_store_answer(me, asked_at, version, era, kind);
            }
            Message::Call { from, start, asked_at, unasked } => {
                let proof = self.proof(me);
                let reply = Message::Reply { from: me, sent: self.ms, asked_at, proof };
                self.send_to_process(me, from, start, reply);
                if let Some(unasked) = unasked {
                    if self.fault == Some(Fault::TrustsUnaskedMessages) {
                        let now = self.local(me);
                        self.instances[me].freshness.on_peer_proof(now, unasked);
                    }
                    self.fetch_if_higher(me, from, unasked.version);
                }
            }
            Message::Reply { from, sent, asked_at, proof } => {
                if self.ms - sent > PEER_TIMEOUT_MS && was_paused_until < sent {
                    return;
                }
                self.instances[me].joined = true;
                let Some(mut proof) = proof else { return };
                let version = proof.version;
                if self.fault == Some(Fault::IgnoresHigherVersions)
                    && let Some(own) = self.instances[me].version
                {
                    proof.version = proof.version.min(own);
                }
                let counted_from = self.counted_from(me, asked_at);
                self.instances[me].freshness.on_peer_proof(counted_from, proof);
                self.fetch_if_higher(me, from, version);
            }
            Message::Fetch { from } => {
                if let Some(version) = self.instances[me].version {
                    self.send_to_peer(me, from, Message::Fetched { version });
                }
            }
            Message::Fetched { version } => self.apply(me, version),
        }
    }

    fn on_store_answer(
        &mut self,
        me: usize,
        asked_at: Timestamp,
        version: u64,
        era: u64,
        kind: Read,
    ) {
        let (now, ms) = (self.local(me), self.ms);
        let relist_delay = self.rng.random_range(0..RELIST_SPREAD_MS);
        let asked_at = self.counted_from(me, asked_at);
        let instance = &mut self.instances[me];
        instance.reading_until = None;
        instance.next_read = ms;
        if era < instance.era {
            instance.next_read = ms + RETRY_MS;
            return;
        }
        match kind {
            Read::Watch if era > instance.era => {
                instance.was_listed = false;
                instance.next_read = ms + relist_delay;
                return;
            }
            Read::Watch => {}
            Read::Listing | Read::OldListing => {
                instance.was_listed = true;
                if era > instance.era && instance.era > 0 {
                    instance.freshness.on_restored(now);
                }
                instance.era = era;
            }
        }
        self.apply(me, version);
        if kind != Read::OldListing {
            self.instances[me].freshness.on_read(asked_at);
        }
        if self.is_read_due(me) {
            self.instances[me].next_read = ms + RETRY_MS;
        }
    }

    fn apply(&mut self, me: usize, version: u64) {
        let ms = self.ms;
        let instance = &mut self.instances[me];
        if instance.version.is_none_or(|own| version > own) {
            instance.version = Some(version);
            instance.freshness.on_applied(version);
            instance.next_round = instance.next_round.min(ms + 50);
        }
    }

    fn fetch_if_higher(&mut self, me: usize, from: usize, version: u64) {
        if self.instances[me].version.is_none_or(|own| version > own) {
            self.send_to_peer(me, from, Message::Fetch { from: me });
        }
    }
}
