//! Asks instances whether a configuration is in force there.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

/// Time from its acknowledgement within which a configuration is in force.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
/// Time between two questions to all instances.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a question counts as not answered.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Length of a body that no configuration allows, so that no question reaches a backend server.
const BODY_BYTES: usize = 100_001;
const TOO_LARGE: u16 = 413;
const NOT_FOUND: u16 = 404;

/// What the instances answered about one configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigAnswers {
    /// Time from its acknowledgement after which it was seen in force; `None` if it never was.
    pub in_force_after: Option<Duration>,
    /// Time at which a question was asked too late to be answered by an older one, and was.
    pub outdated_after: Option<Duration>,
}

/// The thread that asks.
#[derive(Debug)]
pub struct ConfigProbe {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<Vec<ConfigAnswers>>,
}

impl ConfigProbe {
    /// Starts to ask at these addresses for the route that only this version has, which the store has just
    /// acknowledged.
    pub fn start(entries: Vec<SocketAddr>, version: u64) -> Self {
        let is_stopped: Arc<AtomicBool> = Arc::default();
        let stopped = Arc::clone(&is_stopped);
        let start = Instant::now();
        let thread = thread::spawn(move || {
            let mut answers = vec![ConfigAnswers::default(); entries.len()];
            while !stopped.load(Ordering::Relaxed) {
                for (addr, answers) in entries.iter().zip(&mut answers) {
                    answers.ask(*addr, version, start);
                }
                thread::sleep(INTERVAL);
            }
            answers
        });
        Self { is_stopped, thread }
    }

    /// Ends the questions and returns the answers, in the order of the instances.
    pub fn stop(self) -> Vec<ConfigAnswers> {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

impl ConfigAnswers {
    fn ask(&mut self, addr: SocketAddr, version: u64, start: Instant) {
        if self.in_force_after.is_some() {
            return;
        }
        let asked_after = start.elapsed();
        match status_of(addr, version) {
            Some(TOO_LARGE) => self.in_force_after = Some(asked_after),
            Some(NOT_FOUND) if asked_after > CONFIG_LIMIT => {
                self.outdated_after = Some(asked_after);
            }
            _ => {}
        }
    }

    /// Why the configuration wasn't in force in time; `None` if it was.
    pub fn fault(&self) -> Option<String> {
        match (self.in_force_after, self.outdated_after) {
            (None, _) => Some("never in force".to_owned()),
            (Some(_), Some(at)) => Some(format!("an older one in force after {at:.3?}")),
            (Some(_), None) => None,
        }
    }
}

fn status_of(addr: SocketAddr, version: u64) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&addr, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(TIMEOUT)).ok()?;
    let head = format!(
        "POST /version-{version}/x HTTP/1.1\r\nhost: desk.example\r\nconnection: close\r\n\
         x-tamaracklead-attempt-id: config-{version}\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    // An answer may come before the whole body is read.
    let _ = stream.write_all(&[b'x'; BODY_BYTES]);
    let mut head = [0; 12];
    stream.read_exact(&mut head).ok()?;
    std::str::from_utf8(&head).ok()?.strip_prefix("HTTP/1.1 ")?.parse().ok()
}
