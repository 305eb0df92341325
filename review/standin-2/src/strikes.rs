//! Case: three answers lost by resets, to requests of different callers for one path, have all
//! instances refuse that path for two minutes.

use std::net::{Shutdown, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::next_id;
use crate::history::{config_with, route, start_instances, wait_until};
use crate::http::{request, response, Conn};
use crate::program::Program;
use crate::record::Record;
use crate::replica::{Handler, Replica};
use crate::store::Store;

/// Share of the requests whose answer is lost by a reset, at two of four replicas (`answer_lost`).
const LOST_PERCENT: u64 = 40;
const LOST_FOR: Duration = Duration::from_secs(4);
/// Reads a second, as many as the site's sheet has requests of the service `proposal-desk`.
const READS_PER_S: u64 = 20;
/// `contact_ms`, after which the state is steady again.
const CONTACT: Duration = Duration::from_millis(3000);
const JUDGED_FOR: Duration = Duration::from_secs(20);

/// A number that looks drawn at random, the same in each run.
fn draw(number: u64) -> u64 {
    let mixed = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)) >> 8
}

#[derive(Default)]
struct Seen {
    asked: u32,
    served: u32,
}

fn handler(loses: Arc<AtomicBool>) -> Handler {
    let count = AtomicU64::new(0);
    Arc::new(move |me, head, _body, conn| {
        let id = head.header("x-tamaracklead-attempt-id").unwrap_or("").to_owned();
        me.record.line(&format!("replica {} runs request {id} {}", me.id, head.target()));
        thread::sleep(Duration::from_millis(30));
        let is_losing =
            loses.load(Ordering::SeqCst) && (me.id.ends_with('1') || me.id.ends_with('2'));
        if is_losing && draw(count.fetch_add(1, Ordering::SeqCst)) % 100 < LOST_PERCENT {
            me.record.line(&format!(
                "replica {}: the answer to {id} is lost, the channel is reset",
                me.id
            ));
            crate::replica::reset(&conn.stream);
            let _ = conn.stream.shutdown(Shutdown::Both);
            return Ok(false);
        }
        let headers =
            [("X-Tamaracklead-Attempt-Id", id.as_str()), ("X-Tamaracklead-Response-Seal", "s.1")];
        conn.write(&response(200, &headers, b"a list"))?;
        Ok(true)
    })
}

pub fn run(dir: &Path, record: &Record, trouble: bool) -> i32 {
    let store = Store::start();
    let first = route("safe", "/cuti104/", "safe", 2, 2000, "desk");
    store.put("op/config", &config_with(7, &[first.clone()]));
    let loses = Arc::new(AtomicBool::new(false));
    let handler = handler(Arc::clone(&loses));
    for id in ["i-51c0aa11", "i-02d9e6b2", "i-7f3a91c3", "i-e84b3d94"] {
        Replica::new(id, "desk", "v1", record, Arc::clone(&handler)).start(&store, "");
    }
    let programs = start_instances(dir, &store, 3);
    if !wait_until(Duration::from_secs(15), || programs.iter().all(Program::is_ready)) {
        record.line("the instances don't become ready");
        return 2;
    }
    let later = route("lists", "/lists88/", "safe", 2, 2000, "desk");
    store.put("op/config", &config_with(9, &[first, later]));
    record.line("version 9 of the configuration adds the route /lists88/");
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<_> = programs.iter().map(|program| program.front).collect();
    let seen: Arc<[Mutex<Seen>; 2]> = Arc::default();
    let judged = Arc::new(AtomicBool::new(false));
    let began = Instant::now();
    let lost_at = Duration::from_secs(2);
    let judged_at = lost_at + LOST_FOR + CONTACT;
    let mut sent = 0u64;
    while began.elapsed() < judged_at + JUDGED_FOR {
        let now = began.elapsed();
        loses.store(trouble && now >= lost_at && now < lost_at + LOST_FOR, Ordering::SeqCst);
        judged.store(now >= judged_at, Ordering::SeqCst);
        while sent < now.as_millis() as u64 * READS_PER_S / 1000 {
            sent += 1;
            // One read in four is on the first route.
            let kind = usize::from(sent % 4 != 0);
            let front = fronts[draw(sent) as usize % fronts.len()];
            let (record, seen, is_judged) =
                (record.clone(), Arc::clone(&seen), judged.load(Ordering::SeqCst));
            thread::spawn(move || ask(&record, front, kind, is_judged, &seen[kind]));
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_secs(3));
    let share = |kind: usize| {
        let seen = seen[kind].lock().unwrap();
        record.line(&format!(
            "in steady state, route {kind} ({}): {} asked, {} served",
            if kind == 0 { "of the first configuration" } else { "added later" },
            seen.asked,
            seen.served
        ));
        (seen.asked, f64::from(seen.served) / f64::from(seen.asked.max(1)))
    };
    let ((_, of_first), (asked, of_later)) = (share(0), share(1));
    let is_broken = asked >= 20 && of_later < of_first / 4.0;
    record.line(&format!(
        "CONFIG: {of_later:.2} of the requests on the later route are served, {of_first:.2} on the first \
         (less than a quarter as often, of 20 or more, breaks the rule)"
    ));
    i32::from(is_broken)
}

fn ask(record: &Record, front: SocketAddr, kind: usize, is_judged: bool, seen: &Mutex<Seen>) {
    let id = next_id();
    // A status is read by its own path, the list of the day by one path for all callers.
    let target = if kind == 0 { format!("/cuti104/{id}") } else { "/lists88/today".to_owned() };
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Tamaracklead-Attempt-Id", id.as_str()),
        ("X-Tamaracklead-Deadline-Ms", "4000"),
    ];
    let status = Conn::connect(front, Duration::from_secs(1)).ok().and_then(|mut conn| {
        conn.write(&request("GET", &target, &headers, b"")).ok()?;
        let head = conn.read_head().ok()?;
        conn.read_body(&head).ok()?;
        Some(head.status())
    });
    record.line(&format!("client request {id} {target}: answer {status:?}"));
    if is_judged {
        let mut seen = seen.lock().unwrap();
        seen.asked += 1;
        seen.served += u32::from(status == Some(200));
    }
}
