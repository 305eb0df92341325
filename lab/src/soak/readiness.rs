//! Asks an instance several times a second whether it is ready.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use super::settings::Addrs;

/// Time between two questions.
const INTERVAL: Duration = Duration::from_millis(150);
/// Time after which a question that isn't answered counts as not ready.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Refused connections in a row, with readiness in between, that count as a fault: the process may
/// have ended after one.
const MAX_REFUSED: u32 = 3;

/// What an instance said and did when it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Status 200, and callers' connections are taken.
    Ready,
    /// Another status.
    NotReady(u16),
    /// None.
    Nothing,
    /// Status 200, but callers' connections are refused.
    ReadyButRefuses,
}

/// An answer that differs from the one before.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// When the question was asked, from the start of the soak.
    pub at: Duration,
    /// The answer.
    pub answer: Answer,
}

/// The thread that asks one instance.
#[derive(Debug)]
pub struct ReadinessProbe {
    changes: Arc<Mutex<Vec<Change>>>,
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl ReadinessProbe {
    /// Starts to ask; `incarnation` changes with the process.
    pub fn start(addrs: Addrs, incarnation: Arc<AtomicU32>, soak_start: Instant) -> Self {
        let changes: Arc<Mutex<Vec<Change>>> = Arc::default();
        let is_stopped: Arc<AtomicBool> = Arc::default();
        let (shared, stopped) = (Arc::clone(&changes), Arc::clone(&is_stopped));
        let thread = thread::spawn(move || {
            let mut asker = Asker { addrs, incarnation, refused: 0 };
            while !stopped.load(Ordering::Relaxed) {
                let at = soak_start.elapsed();
                let answer = asker.ask();
                let mut changes = shared.lock().unwrap_or_else(PoisonError::into_inner);
                if changes.last().is_none_or(|last| last.answer != answer) {
                    changes.push(Change { at, answer });
                }
                drop(changes);
                thread::sleep(INTERVAL);
            }
        });
        Self { changes, is_stopped, thread }
    }

    /// Ends the questions and returns how the answers changed.
    pub fn stop(self) -> Vec<Change> {
        self.is_stopped.store(true, Ordering::Relaxed);
        // A panic of the thread has been printed; what it saw until then counts.
        let _ = self.thread.join();
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *changes)
    }
}

struct Asker {
    addrs: Addrs,
    incarnation: Arc<AtomicU32>,
    refused: u32,
}

impl Asker {
    fn ask(&mut self) -> Answer {
        let before = self.incarnation.load(Ordering::SeqCst);
        let status = match status_of(self.addrs.ready) {
            Ok(Some(status)) => status,
            Ok(None) | Err(_) => return Answer::Nothing,
        };
        if status != 200 {
            return Answer::NotReady(status);
        }
        let refuses = TcpStream::connect_timeout(&self.addrs.caller, TIMEOUT).is_err();
        let is_same = self.incarnation.load(Ordering::SeqCst) == before;
        self.refused = if refuses && is_same { self.refused + 1 } else { 0 };
        if self.refused >= MAX_REFUSED { Answer::ReadyButRefuses } else { Answer::Ready }
    }
}

/// Status of the readiness check; `None` if what responds isn't an instance.
fn status_of(addr: SocketAddr) -> io::Result<Option<u16>> {
    let mut stream = TcpStream::connect_timeout(&addr, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(b"GET /api/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n")?;
    let mut head = [0; 12];
    stream.read_exact(&mut head)?;
    let text = std::str::from_utf8(&head).unwrap_or_default();
    Ok(text.strip_prefix("HTTP/1.1 ").and_then(|status| status.parse().ok()))
}
