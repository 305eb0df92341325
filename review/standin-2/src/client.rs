//! Clients: streams that are taken up again with `Last-Event-Id` and `Resumes`, on new channels.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{request, Conn};
use crate::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{number:08x}", 0x9c41_d07bu32)
}

/// What a client saw of one stream over all its tries.
#[derive(Debug, Default)]
pub struct StreamSeen {
    /// Software versions of the events that came.
    pub versions: BTreeSet<String>,
    pub last_event: u64,
    pub is_complete: bool,
    pub is_in_order: bool,
    pub tries: u32,
}

/// Asks for one stream within `budget` (the time budget of the route's requests); a try that breaks
/// off or is refused is followed by another one at the next instance, `tries` at most.
pub fn stream(
    record: &Record,
    fronts: &[SocketAddr],
    first: usize,
    path: &str,
    more: &[(&str, &str)],
    budget: Duration,
    tries: u32,
) -> StreamSeen {
    let began = Instant::now();
    let mut seen = StreamSeen { is_in_order: true, ..StreamSeen::default() };
    let mut begun_by: Option<String> = None;
    let mut front = first;
    while seen.tries < tries && !seen.is_complete {
        let left = budget.saturating_sub(began.elapsed());
        if left < Duration::from_millis(300) {
            break;
        }
        seen.tries += 1;
        let id = next_id();
        let pause = one_try(
            record,
            fronts[front % fronts.len()],
            path,
            more,
            &id,
            left,
            &mut begun_by,
            &mut seen,
        );
        front += 1;
        if let (Some(pause), false) = (pause, seen.is_complete) {
            let left = budget.saturating_sub(began.elapsed());
            thread::sleep(pause.min(left / 3));
        }
    }
    seen
}

#[allow(clippy::too_many_arguments)]
fn one_try(
    record: &Record,
    front: SocketAddr,
    path: &str,
    more: &[(&str, &str)],
    id: &str,
    left: Duration,
    begun_by: &mut Option<String>,
    seen: &mut StreamSeen,
) -> Option<Duration> {
    let again = Some(Duration::from_millis(1000));
    let Ok(mut conn) = Conn::connect(front, Duration::from_secs(1)) else {
        record.line(&format!("client try {id}: no connection"));
        return again;
    };
    let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(4800)));
    let left_ms = left.as_millis().to_string();
    let last = seen.last_event.to_string();
    let mut headers = vec![
        ("Host", "ficu95.example"),
        ("X-Tamaracklead-Attempt-Id", id),
        ("X-Tamaracklead-Deadline-Ms", left_ms.as_str()),
    ];
    headers.extend_from_slice(more);
    if let Some(begun) = begun_by.as_deref() {
        headers.push(("Last-Event-Id", last.as_str()));
        headers.push(("Resumes", begun));
    }
    record.line(&format!(
        "client try {id} sent, last event {last}, resumes {}",
        begun_by.as_deref().unwrap_or("-")
    ));
    if conn.write(&request("POST", path, &headers, b"draft")).is_err() {
        return again;
    }
    let Ok(head) = conn.read_head() else {
        record.line(&format!("client try {id}: channel closed without an answer"));
        return again;
    };
    if head.status() != 200 {
        record.line(&format!(
            "client try {id}: answer {} retry-after {:?}",
            head.status(),
            head.header("retry-after")
        ));
        let after =
            head.header("retry-after").and_then(|text| text.parse::<f64>().ok()).unwrap_or(1.0);
        return Some(Duration::from_secs_f64(after.clamp(0.0, 60.0)));
    }
    let mut text = String::new();
    loop {
        match conn.read_chunk() {
            Ok(Some(data)) => text.push_str(&String::from_utf8_lossy(&data)),
            Ok(None) => {
                seen.is_complete = true;
                record.line(&format!(
                    "client try {id}: complete, versions so far {:?}",
                    seen.versions
                ));
                return None;
            }
            Err(e) => {
                record.line(&format!(
                    "client try {id}: broken off after event {} ({e}), versions {:?}",
                    seen.last_event, seen.versions
                ));
                return again;
            }
        }
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let field =
                |name: &str| event.lines().find_map(|l| l.strip_prefix(name)).map(str::trim);
            let number = field("id:").and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
            let software =
                field("data:").and_then(|t| t.split(' ').next()).unwrap_or("").to_owned();
            if begun_by.is_none() {
                *begun_by = Some(id.to_owned());
            }
            if number != seen.last_event + 1 {
                seen.is_in_order = false;
            }
            if !seen.versions.contains(&software) {
                record.line(&format!("client try {id}: event {number} of software {software}"));
            }
            seen.versions.insert(software);
            seen.last_event = number;
        }
    }
}
