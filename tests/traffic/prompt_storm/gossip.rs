//! Rounds of gossip between the instances, as the relay does them.

use std::ops::RangeInclusive;

use rand::Rng;

use super::world::Event;
use super::world::MS;
use super::world::Message;
use super::world::World;

/// Interval between rounds.
const ROUND_US: u64 = 350 * MS;
/// Shortest interval between rounds.
const MIN_ROUND_US: u64 = 50 * MS;
/// Peers that are sent a message in each round.
const PEERS_PER_ROUND: usize = 4;
/// Delay of a message, in milliseconds.
const DELAY_MS: RangeInclusive<u64> = 1..=30;

impl World {
    /// Puts the next round of an instance forward.
    pub fn wake(&mut self, instance: usize) {
        let known = &mut self.instances[instance];
        known.round += 1;
        let (life, round) = (known.life, known.round);
        let due = (known.last_round + MIN_ROUND_US).saturating_sub(self.now);
        self.schedule(due, Event::Round { instance, life, round });
    }

    /// Sends what an instance knows to some peers.
    pub fn gossip_round(&mut self, instance: usize, life: u32, round: u64) {
        let now = self.now;
        let known = &mut self.instances[instance];
        if !known.lives || known.life != life || known.round != round {
            return;
        }
        known.last_round = now;
        known.round += 1;
        let round = known.round;
        let mut peers: Vec<usize> = (0..self.instances.len()).filter(|i| *i != instance).collect();
        for _ in 0..PEERS_PER_ROUND.min(peers.len()) {
            let peer = peers.swap_remove(self.rng.random_range(0..peers.len()));
            self.tell(instance, peer, false);
        }
        self.schedule(ROUND_US, Event::Round { instance, life, round });
    }

    /// Applies a message and replies to it.
    pub fn receive(&mut self, message: Message) {
        let Message { from, to, life, is_reply, evidence, sound } = message;
        if !self.instances[to].lives || self.instances[to].life != life {
            return;
        }
        let local = self.instances[to].time(self.now);
        self.instances[to].serves |= is_reply;
        let changes = self.instances[to].guard.on_peer_evidence(local, &evidence, &sound);
        self.on_changes(to, &changes);
        if !is_reply {
            self.tell(to, from, true);
        }
    }

    fn tell(&mut self, from: usize, to: usize, is_reply: bool) {
        let is_cut = |i: usize| self.instances[i].cut_until > self.now;
        let is_lost = self.rng.random_bool(self.plan.lost_messages);
        if is_lost || is_cut(from) != is_cut(to) || !self.instances[to].lives {
            return;
        }
        let (evidence, sound) =
            self.instances[from].guard.share(self.instances[from].time(self.now));
        self.record.on_message(self.now, &evidence, &sound);
        let life = self.instances[to].life;
        let delay = self.rng.random_range(DELAY_MS) * MS;
        let message = Message { from, to, life, is_reply, evidence, sound };
        self.schedule(delay, Event::Message(message));
    }
}
