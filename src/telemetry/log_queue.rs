//! Log lines that wait to be written by a thread of their own.
//!
//! Whoever logs never waits for the output and is never told of its errors: lines that it doesn't take are
//! counted and lost. Without a thread, lines wait until the system has one.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread::Builder;
use std::time::Duration;
use std::time::Instant;

use super::LostLines;
use super::line_output::LineOutput;

/// Lines that may wait; further ones are dropped.
const MAX_QUEUED_LINES: usize = 4096;
/// Bytes of lines that may wait; lines hold paths and names of others, which may be long.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of lines that are written at once, if that many wait.
const MAX_WRITE_BYTES: usize = 16 * 1024;
/// Time after which it is tried again to start the thread.
const START_RETRY_DELAY: Duration = Duration::from_secs(1);

enum Item {
    Line(Vec<u8>),
    /// Answered once all lines before it are written or lost.
    Flush(Sender<()>),
}

/// A queue of log lines; its clones share it. Written text becomes a line with its `\n`.
#[derive(Clone)]
pub struct LogQueue {
    items: SyncSender<Item>,
    /// Text of a line that hasn't ended.
    text: Vec<u8>,
    thread: Arc<Mutex<Thread>>,
    /// Bytes of the lines that wait.
    queued_bytes: Arc<AtomicUsize>,
    dropped: Arc<AtomicUsize>,
    unwritten: Arc<AtomicUsize>,
}

/// The thread that writes.
enum Thread {
    Running,
    /// It is started at this time with what it needs.
    Due(Instant, Box<dyn FnMut() -> io::Result<()> + Send>),
}

impl LogQueue {
    /// A queue whose lines go to `output`, from a thread that `builder` makes.
    pub fn start<W: Write + Send + 'static>(
        output: W,
        builder: impl Fn() -> Builder + Send + 'static,
    ) -> Self {
        let (items, waiting) = sync_channel(MAX_QUEUED_LINES);
        let unwritten = Arc::new(AtomicUsize::new(0));
        // Both stay here while the system has no thread for them.
        let parts = Arc::new(Mutex::new(Some((waiting, LineOutput::new(output)))));
        let queued_bytes: Arc<AtomicUsize> = Arc::default();
        let (queued, lost) = (Arc::clone(&queued_bytes), Arc::clone(&unwritten));
        let start = move || {
            let (parts, queued, lost) =
                (Arc::clone(&parts), Arc::clone(&queued), Arc::clone(&lost));
            let run = move || {
                let parts = parts.lock().unwrap_or_else(PoisonError::into_inner).take();
                if let Some((waiting, mut output)) = parts {
                    write_all(&waiting, &mut output, &queued, &lost);
                }
            };
            builder().name("log".to_owned()).spawn(run).map(drop)
        };
        let thread = Arc::new(Mutex::new(Thread::Due(Instant::now(), Box::new(start))));
        let dropped = Arc::default();
        let queue = Self { items, text: Vec::new(), thread, queued_bytes, dropped, unwritten };
        queue.ensure_thread(Instant::now());
        queue
    }

    /// Lines that were lost so far.
    pub fn lost_lines(&self) -> LostLines {
        LostLines {
            dropped: self.dropped.load(Ordering::Relaxed),
            unwritten: self.unwritten.load(Ordering::Relaxed),
        }
    }

    /// Waits until all lines before it are written or lost, which may take as long as the output likes.
    pub fn flush_all(&self) {
        if !self.ensure_thread(Instant::now()) {
            return;
        }
        let (tx, rx) = mpsc::channel();
        if self.items.send(Item::Flush(tx)).is_ok() {
            let _ = rx.recv();
        }
    }

    fn push(&self, line: Vec<u8>) {
        self.ensure_thread(Instant::now());
        let length = line.len();
        let queued = self.queued_bytes.fetch_add(length, Ordering::Relaxed);
        let has_room = queued + length <= MAX_QUEUED_BYTES;
        if !has_room || self.items.try_send(Item::Line(line)).is_err() {
            self.queued_bytes.fetch_sub(length, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Starts the thread if that is due; returns whether it runs.
    fn ensure_thread(&self, now: Instant) -> bool {
        let mut thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut *thread {
            Thread::Running => return true,
            Thread::Due(at, _) if now < *at => return false,
            Thread::Due(at, start) => match start() {
                Ok(()) => {}
                Err(_) => {
                    *at = now + START_RETRY_DELAY;
                    return false;
                }
            },
        }
        *thread = Thread::Running;
        true
    }
}

impl Write for LogQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.text.extend_from_slice(buf);
        while let Some(end) = self.text.iter().position(|byte| *byte == b'\n') {
            let rest = self.text.split_off(end + 1);
            let line = std::mem::replace(&mut self.text, rest);
            self.push(line);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what waits until there is no queue any more, several lines at once where they are there.
fn write_all<W: Write>(
    waiting: &Receiver<Item>,
    output: &mut LineOutput<W>,
    queued_bytes: &AtomicUsize,
    unwritten: &AtomicUsize,
) {
    let mut lines = Vec::new();
    while let Ok(first) = waiting.recv() {
        let mut next = Some(first);
        let mut flushed = None;
        while let Some(item) = next.take() {
            match item {
                Item::Line(line) => lines.extend_from_slice(&line),
                Item::Flush(tx) => flushed = Some(tx),
            }
            if flushed.is_none() && lines.len() < MAX_WRITE_BYTES {
                next = waiting.try_recv().ok();
            }
        }
        unwritten.fetch_add(output.write(&lines), Ordering::Relaxed);
        queued_bytes.fetch_sub(lines.len(), Ordering::Relaxed);
        lines.clear();
        if let Some(tx) = flushed {
            // Whoever asked may have given up.
            let _ = tx.send(());
        }
    }
}
