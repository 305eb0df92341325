//! One instance of the model.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use tamaracklead::decide::transfer::Fetch;
use tamaracklead::decide::transfer::FetchTurn;
use tamaracklead::decide::transfer::Serving;
use tamaracklead::decide::transfer::TurnAway;
use tamaracklead::names::Timestamp;
use tamaracklead::wire::transfer::PieceReply;
use tamaracklead::wire::transfer::PieceRequest;

use crate::link::Link;
use crate::versions::Versions;

/// Versions that an instance keeps.
const KEPT_VERSIONS: usize = 5;
/// Bandwidth of an instance, in Mbit/s, and the time that a µs of a whole core takes it, in µs.
const FAST: (u32, f64) = (200, 2.0);
const SLOW: (u32, f64) = (10, 8.0);

/// One instance: its links, its core and what it has.
#[derive(Clone, Debug)]
pub struct Instance {
    pub addr: SocketAddr,
    pub link: Link,
    mbps: u32,
    /// Processor time that a call of one core-microsecond takes, in µs.
    pub core_factor: f64,
    pub process: u32,
    pub core_free: f64,
    pub cut_until: f64,
    pub is_disturbed: bool,
    /// Versions that it has, the newest last.
    pub held: VecDeque<usize>,
    pub fetch: Option<Fetch>,
    /// Serial number of the call that is awaited; an answer to another one comes too late.
    pub call: u64,
    /// Whether the transfer waits until an instance may be asked.
    pub is_waiting: bool,
    pub turn: FetchTurn,
    pub serving: Serving,
    pub last_gossip: f64,
    pub is_gossip_due: bool,
    pub is_reading: bool,
    pub sent: usize,
}

impl Instance {
    pub fn new(index: usize, is_fast: bool) -> Self {
        let (mbps, core_factor) = if is_fast { FAST } else { SLOW };
        let addr = SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 1));
        Self {
            addr,
            link: Link::new(mbps),
            mbps,
            core_factor,
            process: 0,
            core_free: 0.0,
            cut_until: 0.0,
            is_disturbed: false,
            held: VecDeque::from([0]),
            fetch: None,
            call: 0,
            is_waiting: false,
            turn: FetchTurn::default(),
            serving: Serving::new(mbps),
            last_gossip: 0.0,
            is_gossip_due: false,
            is_reading: false,
            sent: 0,
        }
    }

    pub fn newest(&self) -> Option<usize> {
        self.held.back().copied()
    }

    /// Takes a version unless it has a newer one.
    pub fn take(&mut self, version: usize) -> bool {
        if self.newest() >= Some(version) {
            return false;
        }
        self.held.push_back(version);
        if self.held.len() > KEPT_VERSIONS {
            self.held.pop_front();
        }
        true
    }

    /// Answers an instance that asks for a piece.
    pub fn answer(
        &mut self,
        now: Timestamp,
        versions: &Versions,
        request: &PieceRequest,
    ) -> PieceReply {
        let version = versions.number_of(request.value.id);
        if !self.held.contains(&version) {
            return PieceReply::Unknown;
        }
        let base = request.base.map(|id| versions.number_of(id));
        let base = base.filter(|base| self.held.contains(base) && *base < version);
        let encoding = versions.encoding(base, version);
        let (size, value) = (encoding.size as usize, request.value);
        let admitted = self.serving.admit(now, request.from, value, size, request.is_urgent);
        if let Err(TurnAway { retry_in, holders }) = admitted {
            return PieceReply::Busy { retry_in_ms: retry_in.as_millis() as u64, holders };
        }
        let is_same = request.encoding == Some(encoding);
        let offset = if is_same { request.offset as usize } else { 0 };
        let end = size.min(offset + request.max_bytes as usize);
        if end == size {
            self.serving.on_last_sent(now, request.from, value.id);
        }
        PieceReply::Piece {
            encoding,
            offset: offset as u32,
            bytes: Bytes::from(vec![0; end - offset]),
        }
    }

    /// Forgets everything, as a new process does.
    pub fn restart(&mut self) {
        self.process += 1;
        self.held.clear();
        self.fetch = None;
        self.turn = FetchTurn::default();
        self.serving = Serving::new(self.mbps);
        self.is_reading = false;
    }
}

/// A time of the model as the decisions take it.
pub fn timestamp(now: f64) -> Timestamp {
    Timestamp::from_micros(now as u64)
}
