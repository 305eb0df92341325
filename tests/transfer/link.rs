//! The link of one instance, which all that it sends and receives shares.

/// One way between two instances, in µs.
pub const LATENCY: f64 = 1400.0;
/// Longest message that fits into one packet, in bytes.
const MAX_SHORT_BYTES: usize = 1400;

/// The link of one instance.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    bytes_per_us: f64,
    uplink_free: f64,
    downlink_free: f64,
}

impl Link {
    pub fn new(mbps: u32) -> Self {
        Self { bytes_per_us: f64::from(mbps) / 8.0, uplink_free: 0.0, downlink_free: 0.0 }
    }

    /// Time that this many bytes take it, in µs.
    pub fn time_of(&self, bytes: f64) -> f64 {
        bytes / self.bytes_per_us
    }

    /// When a message has left. A short one isn't kept behind the pieces of other connections.
    pub fn send(&mut self, now: f64, bytes: usize) -> f64 {
        let took = self.time_of(bytes as f64);
        let start = self.uplink_free.max(now);
        self.uplink_free = start + took;
        if bytes <= MAX_SHORT_BYTES { now + took } else { start + took }
    }

    /// When a message has arrived that another instance has sent at `sent`.
    pub fn receive(&mut self, sent: f64, bytes: usize) -> f64 {
        let took = self.time_of(bytes as f64);
        self.downlink_free = self.downlink_free.max(sent + LATENCY - took) + took;
        if bytes <= MAX_SHORT_BYTES { sent + LATENCY + took } else { self.downlink_free }
    }

    /// When an answer of the store has arrived that begins at `begun`, and the time that it took.
    pub fn receive_from_store(&mut self, begun: f64, bytes: f64) -> (f64, f64) {
        let took = self.time_of(bytes);
        self.downlink_free = self.downlink_free.max(begun) + took;
        (self.downlink_free, took)
    }
}
