//! Receives one value in pieces.
//!
//! Pattern: the instances that have a value are few and busy, are lost midway, or are reached over
//! slow links. What has arrived is never asked for again unless its encoding isn't known to any
//! instance any more.

use std::net::SocketAddr;
use std::time::Duration;

use super::EncodingId;
use super::FetchStep;
use super::LargeValue;
use super::MAX_PIECE_BYTES;
use super::MAX_VALUE_BYTES;
use super::MIN_PIECE_BYTES;
use super::TurnAway;
use super::source::Source;
use crate::decide::rendezvous;
use crate::names::Timestamp;

/// Time without a new piece after which a transfer is given up.
const STALLED_AFTER: Duration = Duration::from_secs(3);
/// Time without a new piece after which the receiver counts as urgent.
const URGENT_AFTER: Duration = Duration::from_millis(2500);
/// Time for which an instance isn't asked after a failed ask; longer after each further one.
const FAILURE_DELAY: Duration = Duration::from_millis(200);
/// Largest encoding of a value, in bytes: one that can't be compressed becomes a little longer.
const MAX_ENCODING_BYTES: usize = MAX_VALUE_BYTES + MAX_VALUE_BYTES / 128;
/// Time limit of a call for a piece.
const PIECE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit once even the smallest pieces weren't complete in time.
const LONG_PIECE_TIMEOUT: Duration = Duration::from_millis(1600);
/// Instances in a row without the value after which one is given up of which pieces have arrived. One
/// of which nothing has arrived is given up at once: an instance that has another newer one may
/// well serve that at once, while many wait for the newest.
const MAX_UNKNOWN: u32 = 2;
/// Most instances that are remembered as having the value.
const MAX_SOURCES: usize = 16;

/// One transfer, as its receiver sees it.
#[derive(Clone, Debug)]
pub struct Fetch {
    value: LargeValue,
    /// Address of the receiver, by which receivers prefer different sources.
    me: String,
    sources: Vec<Source>,
    /// Instance that sent the last piece.
    current: Option<SocketAddr>,
    encoding: Option<EncodingId>,
    received: Vec<u8>,
    piece_bytes: usize,
    /// Instances asked in a row that don't have the value.
    unknown: u32,
    /// The last one of these.
    has_another: Option<SocketAddr>,
    last_progress: Timestamp,
}

impl Fetch {
    /// A transfer of `value` to the instance at `me`, of which nothing has arrived.
    pub fn new(now: Timestamp, value: LargeValue, me: SocketAddr) -> Self {
        Self {
            value,
            me: me.to_string(),
            sources: Vec::new(),
            current: None,
            encoding: None,
            received: Vec::new(),
            piece_bytes: MAX_PIECE_BYTES,
            unknown: 0,
            has_another: None,
            last_progress: now,
        }
    }

    /// The value that is received.
    pub fn value(&self) -> LargeValue {
        self.value
    }

    /// Encoding of which pieces have arrived; `None` before the first one.
    pub fn encoding(&self) -> Option<EncodingId> {
        self.encoding
    }

    /// What has arrived of it.
    pub fn received(&self) -> &[u8] {
        &self.received
    }

    /// Size of the next piece to ask for, in bytes.
    pub fn piece_bytes(&self) -> usize {
        self.piece_bytes
    }

    /// Time limit of the call for the next piece.
    pub fn piece_timeout(&self) -> Duration {
        if self.piece_bytes > MIN_PIECE_BYTES { PIECE_TIMEOUT } else { LONG_PIECE_TIMEOUT }
    }

    /// Goes on with a transfer that was given up before.
    pub fn resume(&mut self, now: Timestamp) {
        self.last_progress = now;
        self.unknown = 0;
    }

    /// Adds an instance that has the value.
    pub fn add_source(&mut self, addr: SocketAddr) {
        let is_known = self.sources.iter().any(|source| source.addr == addr);
        if !is_known && self.sources.len() < MAX_SOURCES {
            self.sources.push(Source::new(addr));
        }
    }

    /// What to do next.
    pub fn next(&self, now: Timestamp) -> FetchStep {
        if self.is_complete() {
            return FetchStep::Complete;
        }
        let waited = now.since(self.last_progress);
        let max_unknown = if self.received.is_empty() { 1 } else { MAX_UNKNOWN };
        if self.unknown >= max_unknown {
            return FetchStep::GiveUp { next: self.has_another };
        }
        if self.sources.is_empty() || waited >= STALLED_AFTER {
            return FetchStep::GiveUp { next: None };
        }
        let is_urgent = waited >= URGENT_AFTER;
        let due = self.sources.iter().filter(|source| source.not_before <= now);
        let preferred = due.min_by_key(|source| {
            let is_other = self.current != Some(source.addr);
            let score = rendezvous::score(&self.me, &source.addr.to_string());
            (is_other, source.failures, source.turned_away, score)
        });
        if let Some(source) = preferred {
            return FetchStep::Ask { from: source.addr, is_urgent };
        }
        let next_due = self.sources.iter().map(|source| source.not_before.since(now)).min();
        FetchStep::Wait(next_due.unwrap_or(STALLED_AFTER).min(STALLED_AFTER - waited))
    }

    /// Records a piece that begins at `offset` of an encoding.
    pub fn on_piece(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        encoding: EncodingId,
        offset: usize,
        bytes: &[u8],
    ) {
        if encoding.size as usize > MAX_ENCODING_BYTES {
            self.on_unknown(from);
            return;
        }
        if self.encoding != Some(encoding) {
            // Another encoding can't be joined to what has arrived.
            self.encoding = Some(encoding);
            self.received.clear();
        }
        let rest = (encoding.size as usize).saturating_sub(self.received.len());
        if offset != self.received.len() || bytes.is_empty() || bytes.len() > rest {
            self.on_failure(now, from);
            return;
        }
        self.received.extend_from_slice(bytes);
        self.last_progress = now;
        self.unknown = 0;
        self.current = Some(from);
        self.piece_bytes = (self.piece_bytes * 2).min(MAX_PIECE_BYTES);
        if let Some(source) = self.source_mut(from) {
            *source = Source::new(from);
        }
    }

    /// Records that an instance serves others first.
    pub fn on_turned_away(&mut self, now: Timestamp, from: SocketAddr, away: &TurnAway) {
        self.current = self.current.filter(|current| *current != from);
        if let Some(source) = self.source_mut(from) {
            source.not_before = now + away.retry_in;
            source.turned_away += 1;
            source.failures = 0;
        }
        for holder in &away.holders {
            self.add_source(*holder);
        }
    }

    /// Records that an instance doesn't have the value.
    pub fn on_unknown(&mut self, from: SocketAddr) {
        self.unknown += 1;
        self.has_another = Some(from);
        self.current = self.current.filter(|current| *current != from);
        self.sources.retain(|source| source.addr != from);
    }

    /// Records that an ask failed.
    pub fn on_failure(&mut self, now: Timestamp, from: SocketAddr) {
        self.current = self.current.filter(|current| *current != from);
        self.piece_bytes = (self.piece_bytes / 2).max(MIN_PIECE_BYTES);
        if let Some(source) = self.source_mut(from) {
            source.failures += 1;
            source.not_before = now + FAILURE_DELAY * source.failures;
        }
    }

    /// Drops what has arrived, which doesn't decode to the value.
    pub fn on_undecodable(&mut self, from: SocketAddr) {
        self.encoding = None;
        self.received.clear();
        self.sources.retain(|source| source.addr != from);
    }

    /// Whether everything has arrived.
    fn is_complete(&self) -> bool {
        self.encoding.is_some_and(|encoding| self.received.len() >= encoding.size as usize)
    }

    fn source_mut(&mut self, addr: SocketAddr) -> Option<&mut Source> {
        self.sources.iter_mut().find(|source| source.addr == addr)
    }
}
