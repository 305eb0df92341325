//! Case: error answers without end from one replica in trouble fill the memory of an instance until
//! the platform kills it, and with it go the requests that sound replicas were working on.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::next_id;
use crate::history::{config, start_instances, wait_until};
use crate::http::{request, response, Conn};
use crate::program::Program;
use crate::record::Record;
use crate::replica::{send_stream, Handler, Replica};
use crate::store::Store;

/// `memory_mb` of a machine of the small sites.
const MEMORY_MIB: u64 = 260;
/// Bytes a second of one answer without end.
const BYTES_PER_S: usize = 3_000_000;
/// Share of its requests that the replica in trouble fails (`srv_grey`, x).
const FAILED_PERCENT: u64 = 45;
/// Streams that clients ask for a second, as on the sheet of Nakhla.
const STREAMS_PER_S: u64 = 43;
/// Time for which they do.
const SENDING_TIME: Duration = Duration::from_secs(20);

/// Time that a sound replica takes to the first event of a stream; the aim is 1,000 ms.
const FIRST_EVENT: Duration = Duration::from_millis(500);

/// What became of the request of one client on a channel that it had used before.
struct Outcome {
    id: String,
    is_sent: bool,
    has_answer: bool,
}

/// Requests that reached replicas which are sound, by id.
type Arrivals = Arc<Mutex<HashSet<String>>>;

fn handler(grey: &'static str, is_on: Arc<AtomicBool>, at_sound: Arrivals) -> Handler {
    let count = AtomicU64::new(0);
    Arc::new(move |me, head, _body, conn| {
        let id = head.header("x-tamaracklead-attempt-id").unwrap_or("").to_owned();
        if me.service == "desk" {
            let headers = [
                ("X-Tamaracklead-Attempt-Id", id.as_str()),
                ("X-Tamaracklead-Response-Seal", "s.1"),
            ];
            conn.write(&response(200, &headers, b"fine"))?;
            return Ok(true);
        }
        if me.id != grey {
            at_sound.lock().unwrap().insert(id);
        } else if is_on.load(Ordering::SeqCst)
            && count.fetch_add(1, Ordering::SeqCst) * 37 % 100 < FAILED_PERCENT
        {
            me.record.line(&format!("replica {} answers request {id} without end", me.id));
            let text = format!(
                "HTTP/1.1 500 Internal Server Error\r\nX-Tamaracklead-Attempt-Id: {id}\r\n\r\n"
            );
            conn.write(text.as_bytes())?;
            let part = vec![b'x'; BYTES_PER_S / 50];
            loop {
                conn.write(&part)?;
                thread::sleep(Duration::from_millis(20));
            }
        }
        thread::sleep(FIRST_EVENT);
        send_stream(me, head, conn)
    })
}

pub fn run(dir: &Path, record: &Record, trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op/config", &config(7));
    let is_on = Arc::new(AtomicBool::new(trouble));
    let at_sound = Arrivals::default();
    let names = ["i-7f3a91c2", "i-02d9e6b4", "i-51c0aa17", "i-e84b3d90"];
    let handler = handler(names[0], Arc::clone(&is_on), Arc::clone(&at_sound));
    for id in names {
        Replica::new(id, "drafts", "v1", record, Arc::clone(&handler)).start(&store, "");
    }
    Replica::new("i-99ab31f0", "desk", "v1", record, Arc::clone(&handler)).start(&store, "");
    let mut programs = start_instances(dir, &store, 1);
    if !wait_until(Duration::from_secs(15), || programs.iter().all(Program::is_ready)) {
        record.line("the instance doesn't become ready");
        return 2;
    }
    record.line("the instance is ready");
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let began = Instant::now();
    let (mut peak, mut sent, mut is_killed) = (0, 0, false);
    while began.elapsed() < SENDING_TIME + Duration::from_secs(4) && !is_killed {
        let due = began.elapsed().min(SENDING_TIME).as_millis() as u64 * STREAMS_PER_S / 1000;
        while sent < due {
            sent += 1;
            let (record, outcomes, front) =
                (record.clone(), Arc::clone(&outcomes), programs[0].front);
            thread::spawn(move || ask(&record, front, &outcomes));
        }
        let memory = programs[0].memory_mib("VmRSS:");
        if memory >= peak + 10 {
            peak = memory;
            record.line(&format!("{} holds {memory} MiB", programs[0].name));
        }
        if memory > MEMORY_MIB {
            is_killed = true;
            record.line(&format!(
                "{} exceeds {MEMORY_MIB} MiB ({memory}): the platform kills it",
                programs[0].name
            ));
            programs[0].kill();
        }
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(500));
    is_on.store(false, Ordering::SeqCst);
    let at_sound = at_sound.lock().unwrap();
    let outcomes = outcomes.lock().unwrap();
    let is_lost = |o: &&Outcome| o.is_sent && !o.has_answer && at_sound.contains(&o.id);
    let lost = outcomes.iter().filter(is_lost).count();
    for outcome in outcomes.iter().filter(is_lost) {
        record.line(&format!(
            "request {} was passed on to a sound replica; its channel ended without an answer",
            outcome.id
        ));
    }
    record.line(&format!(
        "LOST: {lost} requests from kept channels were passed on to sound replicas, and their channels \
         closed without an answer (more than three break the rule); {sent} sent, peak {peak} MiB, killed {is_killed}"
    ));
    i32::from(lost > 3)
}

/// Uses a channel for a status read, then for a stream; notes whether that got an answer.
fn ask(record: &Record, front: SocketAddr, outcomes: &Mutex<Vec<Outcome>>) {
    let Ok(mut conn) = Conn::connect(front, Duration::from_secs(1)) else { return };
    let first = next_id();
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Tamaracklead-Attempt-Id", first.as_str()),
        ("X-Tamaracklead-Deadline-Ms", "2000"),
    ];
    let _ = conn.write(&request("GET", &format!("/cuti104/{first}"), &headers, b""));
    let Ok(head) = conn.read_head() else { return };
    if conn.read_body(&head).is_err() {
        return;
    }
    let id = next_id();
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Tamaracklead-Attempt-Id", id.as_str()),
        ("X-Tamaracklead-Deadline-Ms", "15000"),
    ];
    let is_sent = conn.write(&request("POST", "/lohu930/2f", &headers, b"draft")).is_ok();
    record.line(&format!("client request {id} sent on a kept channel"));
    let answer = conn.read_head();
    let has_answer = answer.is_ok();
    let status = answer.as_ref().map_or(0, crate::http::Head::status);
    record.line(&format!("client request {id}: answer {status}"));
    outcomes.lock().unwrap().push(Outcome { id, is_sent, has_answer });
    while status == 200 && matches!(conn.read_chunk(), Ok(Some(_))) {}
}
