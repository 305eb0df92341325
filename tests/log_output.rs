//! Log lines on their way to outputs that fail: what is lost is counted, and nobody waits.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::Builder;

use tamaracklead::telemetry::LineOutput;
use tamaracklead::telemetry::LogQueue;
use tamaracklead::telemetry::LostLines;

/// Length of a line with the longest id of a caller.
const LONG_LINE_BYTES: usize = 128 * 1024;
const LONG_LINES: usize = 200;
/// Bytes of lines that may wait, far below what a process may take.
const MAX_WAITING_BYTES: usize = 4 * 1024 * 1024;
/// More lines than may wait.
const MANY_LINES: usize = 10_000;

/// Output with room for so many bytes, which it tells by an error once they are used up.
#[derive(Clone)]
struct Room {
    left: Arc<Mutex<usize>>,
    taken: Arc<Mutex<Vec<u8>>>,
}

impl Room {
    fn new(left: usize) -> Self {
        Self { left: Arc::new(Mutex::new(left)), taken: Arc::default() }
    }

    fn add(&self, bytes: usize) {
        *self.left.lock().unwrap() += bytes;
    }

    fn text(&self) -> String {
        String::from_utf8(self.taken.lock().unwrap().clone()).unwrap()
    }
}

impl Write for Room {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut left = self.left.lock().unwrap();
        if *left == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let count = buf.len().min(*left);
        *left -= count;
        self.taken.lock().unwrap().extend_from_slice(&buf[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are lost without being counted, and lines joined to a broken one.
#[test]
fn a_line_that_broke_off_is_counted_and_ended_before_the_next() {
    let room = Room::new(9);
    let mut output = LineOutput::new(room.clone());
    assert_eq!(output.write(b"first\nsecond\n"), 1);
    assert_eq!(output.write(b"third\n"), 1, "no room");
    room.add(100);
    assert_eq!(output.write(b"fourth\nfifth\n"), 0);
    assert_eq!(room.text(), "first\nsec\nfourth\nfifth\n");
}

/// Guards against an empty line, or one that is lost, where the output fails between two lines.
#[test]
fn an_output_that_fails_between_lines_loses_nothing_else() {
    let room = Room::new(6);
    let mut output = LineOutput::new(room.clone());
    assert_eq!(output.write(b"first\n"), 0);
    assert_eq!(output.write(b"second\n"), 1);
    room.add(100);
    assert_eq!(output.write(b"third\n"), 0);
    assert_eq!(room.text(), "first\nthird\n");
}

fn unwritten(unwritten: usize) -> LostLines {
    LostLines { dropped: 0, unwritten }
}

/// Guards against lines that are lost though their output takes them, or written in another order.
#[test]
fn lines_are_written_whole_and_in_order() {
    let room = Room::new(usize::MAX);
    let mut queue = LogQueue::start(room.clone(), Builder::new);
    let lines: String = (0..1000).map(|number| format!("line {number}\n")).collect();
    for line in lines.lines() {
        write!(queue, "{}", &line[..3]).unwrap();
        writeln!(queue, "{}", &line[3..]).unwrap();
    }
    queue.flush_all();
    assert_eq!(room.text(), lines);
    assert_eq!(queue.lost_lines(), unwritten(0));
}

/// Guards against a count that misses lines of an output that takes none.
#[test]
fn lines_that_the_output_does_not_take_are_counted() {
    let mut queue = LogQueue::start(Room::new(0), Builder::new);
    for _ in 0..1000 {
        queue.write_all(b"lost\n").unwrap();
    }
    queue.flush_all();
    assert_eq!(queue.lost_lines(), unwritten(1000));
    assert_eq!(queue.lost_lines().total(), 1000);
}

/// Guards against a panic, a wait or lines that nobody counts where the system has no thread.
#[test]
fn without_a_thread_lines_wait_and_further_ones_are_counted() {
    let room = Room::new(usize::MAX);
    let no_thread = || Builder::new().stack_size(1 << 60);
    let mut queue = LogQueue::start(room.clone(), no_thread);
    for _ in 0..MANY_LINES {
        queue.write_all(b"line\n").unwrap();
    }
    queue.flush_all();
    let lost = queue.lost_lines();
    assert!(lost.dropped > 0 && lost.dropped < MANY_LINES, "{lost:?}");
    assert_eq!(lost.unwritten, 0);
    assert_eq!(room.text(), "");
}

/// Guards against a log that stays silent although the system has a thread by now.
#[test]
fn lines_that_waited_for_a_thread_are_written_once_there_is_one() {
    let room = Room::new(usize::MAX);
    let is_first = Mutex::new(true);
    let builder = move || {
        let is_first = std::mem::take(&mut *is_first.lock().unwrap());
        if is_first { Builder::new().stack_size(1 << 60) } else { Builder::new() }
    };
    let mut queue = LogQueue::start(room.clone(), builder);
    queue.write_all(b"before\n").unwrap();
    thread::sleep(std::time::Duration::from_millis(1100));
    queue.write_all(b"after\n").unwrap();
    queue.flush_all();
    assert_eq!(room.text(), "before\nafter\n");
}

/// Output that takes nothing and never returns.
struct Stuck;

impl Write for Stuck {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against memory that lines with the long paths and names of others take while nobody reads the log.
#[test]
fn long_lines_that_wait_take_bounded_memory() {
    let mut queue = LogQueue::start(Stuck, Builder::new);
    let line = format!("{}\n", "x".repeat(LONG_LINE_BYTES));
    for _ in 0..LONG_LINES {
        queue.write_all(line.as_bytes()).unwrap();
    }
    let waiting = LONG_LINES - queue.lost_lines().dropped;
    assert!(waiting * line.len() <= MAX_WAITING_BYTES, "{waiting} lines");
    assert!(waiting > 1);
}

/// Guards against room that lines keep after they were written.
#[test]
fn written_long_lines_make_room_for_others() {
    let room = Room::new(usize::MAX);
    let mut queue = LogQueue::start(room.clone(), Builder::new);
    let line = format!("{}\n", "x".repeat(LONG_LINE_BYTES));
    for _ in 0..LONG_LINES {
        queue.write_all(line.as_bytes()).unwrap();
        queue.flush_all();
    }
    assert_eq!(queue.lost_lines(), unwritten(0));
    assert_eq!(room.taken.lock().unwrap().len(), LONG_LINES * line.len());
}
