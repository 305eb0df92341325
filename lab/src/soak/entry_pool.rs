//! Instances as callers reach them: open connections, and which instances get new ones.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::connection::Connection;

/// Time within which an instance answers whether it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// Questions in a row without a 200 after which an instance gets no new connections.
const MAX_MISSES: u32 = 2;
/// Open connections that wait for a request, at most, to each instance.
const MAX_IDLE: usize = 32;

#[derive(Debug, Default)]
struct State {
    /// Open connections that wait, by instance.
    idle: Vec<Vec<Connection>>,
    /// Questions in a row that each instance didn't answer with 200.
    misses: Vec<u32>,
}

/// The instances, in the order of their indexes.
#[derive(Debug)]
pub struct EntryPool {
    entries: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    state: Mutex<State>,
}

impl EntryPool {
    /// Instances that are reached at `entries` and say at `readiness` whether they are ready; all
    /// always get connections if that is empty.
    pub fn new(entries: Vec<SocketAddr>, readiness: Vec<SocketAddr>) -> Self {
        let count = entries.len();
        let idle = std::iter::repeat_with(Vec::new).take(count).collect();
        let state = Mutex::new(State { idle, misses: vec![0; count] });
        Self { entries, readiness, state }
    }

    /// Takes an open connection, or opens one to an instance that gets new ones, with its index.
    pub fn take(&self, rng: &mut impl Rng) -> (usize, Option<Connection>) {
        let kept = rng.random_range(0..self.entries.len());
        loop {
            let Some(connection) = self.state().idle[kept].pop() else { break };
            if connection.is_idle() {
                return (kept, Some(connection));
            }
        }
        self.open(rng)
    }

    /// Opens a connection to an instance that gets new ones.
    pub fn open(&self, rng: &mut impl Rng) -> (usize, Option<Connection>) {
        let entry = self.in_rotation().choose(rng).copied().unwrap_or(0);
        (entry, Connection::open(self.entries[entry]))
    }

    /// Keeps a connection to an instance for further requests.
    pub fn put_back(&self, entry: usize, connection: Connection) {
        let idle = &mut self.state().idle[entry];
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    /// Asks all instances whether they are ready.
    pub fn ask_readiness(&self) {
        for (entry, addr) in self.readiness.iter().enumerate() {
            let is_ready = is_ready(*addr).unwrap_or(false);
            let misses = &mut self.state().misses[entry];
            *misses = if is_ready { 0 } else { *misses + 1 };
        }
    }

    /// Instances that get new connections: all if fewer than half are ready.
    fn in_rotation(&self) -> Vec<usize> {
        let state = self.state();
        let ready = (0..self.entries.len()).filter(|entry| state.misses[*entry] < MAX_MISSES);
        let ready: Vec<usize> = ready.collect();
        match ready.len() * 2 < self.entries.len() {
            true => (0..self.entries.len()).collect(),
            false => ready,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_ready(addr: SocketAddr) -> Option<bool> {
    let mut stream = TcpStream::connect_timeout(&addr, READY_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(READY_TIMEOUT)).ok()?;
    stream.write_all(b"GET /api/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").ok()?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).ok()?;
    Some(head.ends_with(b" 200"))
}
