//! Whom an instance sends pieces of values.
//!
//! Pattern: a change is known to all instances within a moment, and all ask the few that have it.
//! Copies sent to all of them at once share the sender's link and are all late. A few receivers at a
//! time get theirs soon, and serve the others.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use super::LargeValue;
use super::TurnAway;
use super::ValueId;
use crate::names::Timestamp;

/// Fewest and most receivers that get pieces at the same time.
const MIN_SERVED: usize = 2;
const MAX_SERVED: usize = 16;
/// Bandwidth of the link for each of them, in Mbit/s.
const MBPS_PER_RECEIVER: usize = 5;
/// Time after its last piece within which a receiver must ask for the next one to keep its place.
const PLACE_TIME: Duration = Duration::from_millis(400);
/// Encodings up to this size need no place, in bytes.
const SMALL_ENCODING_BYTES: usize = 2 * 1024;
/// Copies of a value, counted by its own size, after which receivers are sent to others that have it.
const MAX_COPIES: u32 = 2;
/// Part of an encoding that the heads of its messages add to it.
const HEADS_PART: usize = 64;
/// Instances that a receiver is told of.
const MAX_HOLDERS: usize = 4;
/// Values whose receivers are remembered.
const MAX_VALUES: usize = 8;
/// Time that a transfer is taken to need before one was seen.
const FIRST_TRANSFER_TIME: Duration = Duration::from_millis(100);
/// Bounds of the time after which a receiver may ask again.
const MIN_RETRY_IN: Duration = Duration::from_millis(40);
const MAX_RETRY_IN: Duration = Duration::from_millis(400);
/// Time for which a receiver that was turned away counts as waiting.
const WAITING_TIME: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct Place {
    value: ValueId,
    /// Bytes of the encoding with the heads of the messages.
    cost: u64,
    since: Timestamp,
    last_piece: Timestamp,
}

#[derive(Clone, Debug)]
struct ServedValue {
    id: ValueId,
    /// Encodings that were or are being sent, and their bytes with the heads of the messages.
    copies: u32,
    granted: u64,
    /// Instances that got it from here, the last one last.
    holders: VecDeque<SocketAddr>,
}

impl ServedValue {
    /// Whether a further copy is left to others that have the value, or are about to.
    fn is_for_others(&self, value: LargeValue, cost: u64) -> bool {
        let limit = u64::from(MAX_COPIES) * u64::from(value.size);
        self.copies >= MAX_COPIES && self.granted + cost > limit
    }

    fn on_granted(&mut self, cost: u64) {
        self.granted += cost;
        self.copies += 1;
    }

    fn on_gone(&mut self, cost: u64) {
        self.granted = self.granted.saturating_sub(cost);
        self.copies = self.copies.saturating_sub(1);
    }
}

/// Receivers that one instance serves.
#[derive(Clone, Debug)]
pub struct Serving {
    max_served: usize,
    places: HashMap<SocketAddr, Place>,
    waiting: HashMap<SocketAddr, Timestamp>,
    values: VecDeque<ServedValue>,
    transfer_time: Option<Duration>,
}

impl Serving {
    /// Nobody yet, over a link of this bandwidth in Mbit/s; 0 if it isn't known.
    pub fn new(link_mbps: u32) -> Self {
        let max_served = (link_mbps as usize / MBPS_PER_RECEIVER).clamp(MIN_SERVED, MAX_SERVED);
        Self {
            max_served,
            places: HashMap::new(),
            waiting: HashMap::new(),
            values: VecDeque::new(),
            transfer_time: None,
        }
    }

    /// Decides whether `receiver` gets a piece of an encoding of `encoded_bytes` now.
    ///
    /// `is_urgent` is whether no other instance that it knows could serve it for a while.
    ///
    /// # Errors
    ///
    /// When it may ask again, and whom else, if it gets none.
    pub fn admit(
        &mut self,
        now: Timestamp,
        receiver: SocketAddr,
        value: LargeValue,
        encoded_bytes: usize,
        is_urgent: bool,
    ) -> Result<(), TurnAway> {
        self.drop_gone_receivers(now);
        self.waiting.retain(|_, since| now.since(*since) < WAITING_TIME);
        if encoded_bytes <= SMALL_ENCODING_BYTES {
            return Ok(());
        }
        if let Some(place) = self.places.get_mut(&receiver)
            && place.value == value.id
        {
            place.last_piece = now;
            return Ok(());
        }
        let cost = (encoded_bytes + encoded_bytes / HEADS_PART) as u64;
        let is_for_others = self.served(value.id).is_for_others(value, cost) && !is_urgent;
        if self.places.len() >= self.max_served || is_for_others {
            return Err(self.turn_away(now, receiver, value.id));
        }
        self.waiting.remove(&receiver);
        self.served(value.id).on_granted(cost);
        let place = Place { value: value.id, cost, since: now, last_piece: now };
        self.places.insert(receiver, place);
        Ok(())
    }

    /// Frees the places of receivers that ask no more; their copies count as not sent.
    fn drop_gone_receivers(&mut self, now: Timestamp) {
        let is_gone = |place: &Place| now.since(place.last_piece) >= PLACE_TIME;
        let gone = self.places.extract_if(|_, place| is_gone(place));
        for (_, place) in gone.collect::<Vec<_>>() {
            self.served(place.value).on_gone(place.cost);
        }
    }

    fn turn_away(&mut self, now: Timestamp, receiver: SocketAddr, value: ValueId) -> TurnAway {
        self.waiting.insert(receiver, now);
        TurnAway { retry_in: self.retry_in(), holders: self.holders(value, receiver) }
    }

    /// Records that the last piece was sent, so that the receiver has the whole value.
    pub fn on_last_sent(&mut self, now: Timestamp, receiver: SocketAddr, value: ValueId) {
        let served = self.served(value);
        served.holders.retain(|holder| *holder != receiver);
        served.holders.push_back(receiver);
        if served.holders.len() > MAX_HOLDERS {
            served.holders.pop_front();
        }
        if let Some(place) = self.places.remove(&receiver) {
            let took = now.since(place.since);
            self.transfer_time = Some(self.transfer_time.map_or(took, |mean| (mean + took) / 2));
        }
    }

    fn served(&mut self, id: ValueId) -> &mut ServedValue {
        let index = self.values.iter().position(|served| served.id == id);
        let index = index.unwrap_or_else(|| {
            if self.values.len() >= MAX_VALUES {
                self.values.pop_front();
            }
            self.values.push_back(ServedValue {
                id,
                copies: 0,
                granted: 0,
                holders: VecDeque::new(),
            });
            self.values.len() - 1
        });
        &mut self.values[index]
    }

    fn holders(&mut self, id: ValueId, receiver: SocketAddr) -> Vec<SocketAddr> {
        let holders = self.served(id).holders.iter().rev();
        holders.filter(|holder| **holder != receiver).copied().collect()
    }

    /// Time until those that wait as well are likely to have been served.
    fn retry_in(&self) -> Duration {
        let transfer_time = self.transfer_time.unwrap_or(FIRST_TRANSFER_TIME);
        let rounds =
            u32::try_from(self.waiting.len().div_ceil(self.max_served)).unwrap_or(u32::MAX);
        transfer_time.saturating_mul(rounds).clamp(MIN_RETRY_IN, MAX_RETRY_IN)
    }
}
