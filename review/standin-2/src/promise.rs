//! Case: a replica in trouble runs submissions and fails them with 503, without saying that they were
//! not run; the answer reaches the client as the promise that they were not.

use std::collections::{HashMap, HashSet};
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
use crate::replica::{Handler, Replica};
use crate::store::Store;

/// Share of its requests that the replica in trouble fails (`srv_grey`, x), and for how long.
const FAILED_PERCENT: u64 = 45;
const TROUBLE_FOR: Duration = Duration::from_millis(6500);
/// Submissions a second, as on the sheet of Nakhla.
const SUBMISSIONS_PER_S: u64 = 11;

/// What the replicas ran: ids of requests, and how often each proposal.
#[derive(Default)]
struct Ran {
    ids: HashSet<String>,
    proposals: HashMap<String, u32>,
}

fn handler(is_grey: Arc<AtomicBool>, ran: Arc<Mutex<Ran>>) -> Handler {
    let count = AtomicU64::new(0);
    Arc::new(move |me, head, body, conn| {
        let id = head.header("x-tamaracklead-attempt-id").unwrap_or("").to_owned();
        let proposal = String::from_utf8_lossy(body).into_owned();
        thread::sleep(Duration::from_millis(30));
        me.record.line(&format!("replica {} runs request {id}, {proposal}", me.id));
        {
            let mut ran = ran.lock().unwrap();
            ran.ids.insert(id.clone());
            *ran.proposals.entry(proposal).or_default() += 1;
        }
        let is_failed = me.id.ends_with('1')
            && is_grey.load(Ordering::SeqCst)
            && count.fetch_add(1, Ordering::SeqCst) * 37 % 100 < FAILED_PERCENT;
        let headers = [
            ("X-Tamaracklead-Attempt-Id", id.as_str()),
            ("X-Tamaracklead-Response-Seal", "s.1"),
            ("X-Tamaracklead-Instance-Id", me.id.as_str()),
        ];
        if is_failed {
            me.record.line(&format!("replica {} fails request {id} after its run: 503", me.id));
            conn.write(&response(503, &headers, b"the desk failed"))?;
        } else {
            conn.write(&response(200, &headers, b"receipt"))?;
        }
        Ok(true)
    })
}

pub fn run(dir: &Path, record: &Record, trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op/config", &config(7));
    let is_grey = Arc::new(AtomicBool::new(false));
    let ran: Arc<Mutex<Ran>> = Arc::default();
    let handler = handler(Arc::clone(&is_grey), Arc::clone(&ran));
    for id in ["i-51c0aa11", "i-02d9e6b2", "i-7f3a91c3", "i-e84b3d94"] {
        Replica::new(id, "desk", "v1", record, Arc::clone(&handler)).start(&store, "");
    }
    let programs = start_instances(dir, &store, 3);
    if !wait_until(Duration::from_secs(15), || programs.iter().all(Program::is_ready)) {
        record.line("the instances don't become ready");
        return 2;
    }
    let fronts: Vec<_> = programs.iter().map(|program| program.front).collect();
    let promised: Arc<Mutex<Vec<String>>> = Arc::default();
    let began = Instant::now();
    let mut sent = 0u64;
    while began.elapsed() < TROUBLE_FOR + Duration::from_secs(4) {
        let at = began.elapsed();
        let since = Duration::from_secs(2);
        is_grey.store(trouble && at >= since && at < since + TROUBLE_FOR, Ordering::SeqCst);
        while sent < at.as_millis() as u64 * SUBMISSIONS_PER_S / 1000 {
            sent += 1;
            let (record, fronts, promised) =
                (record.clone(), fronts.clone(), Arc::clone(&promised));
            thread::spawn(move || submit(&record, &fronts, sent as usize, &promised));
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_secs(3));
    let (ran, promised) = (ran.lock().unwrap(), promised.lock().unwrap());
    let false_promises: Vec<_> = promised.iter().filter(|id| ran.ids.contains(*id)).collect();
    for id in &false_promises {
        record.line(&format!("request {id} was answered 503 and has run"));
    }
    let doubled = ran.proposals.values().filter(|count| **count > 1).count();
    record.line(&format!(
        "REFUSED: {} of {sent} submissions were answered with a promise and had run (one breaks the rule); \
         {doubled} proposals ran more than once",
        false_promises.len()
    ));
    i32::from(!false_promises.is_empty())
}

/// Sends one proposal; after a promise, once more at another instance, as clients do.
fn submit(record: &Record, fronts: &[SocketAddr], number: usize, promised: &Mutex<Vec<String>>) {
    let proposal = format!("proposal {number}");
    for attempt in 0..2 {
        let id = next_id();
        let headers = [
            ("Host", "ficu95.example"),
            ("X-Tamaracklead-Attempt-Id", id.as_str()),
            ("X-Tamaracklead-Deadline-Ms", "1500"),
        ];
        let front = fronts[(number + attempt) % fronts.len()];
        let head = Conn::connect(front, Duration::from_secs(1)).ok().and_then(|mut conn| {
            conn.write(&request("POST", "/puxa403/2f", &headers, proposal.as_bytes())).ok()?;
            let head = conn.read_head().ok()?;
            conn.read_body(&head).ok()?;
            Some(head)
        });
        let Some(head) = head else {
            record.line(&format!("client request {id}, {proposal}: no answer"));
            return;
        };
        let seal = head.header("x-tamaracklead-response-seal").unwrap_or("-");
        record.line(&format!(
            "client request {id}, {proposal}: answer {}, seal {seal}",
            head.status()
        ));
        if !matches!(head.status(), 408 | 421 | 429 | 503) {
            return;
        }
        promised.lock().unwrap().push(id);
        let wait =
            head.header("retry-after").and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        thread::sleep(Duration::from_secs_f64(wait.clamp(0.0, 0.5)));
    }
}
