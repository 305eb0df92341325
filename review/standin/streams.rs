//! Clients that read a resumable stream, and take it up again if it breaks off.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::engine::MODEL;
use crate::engine::SERVICE;
use crate::record::Record;

pub const HOST: &str = "ficu95.example";
pub const PATH: &str = "/lohu930/2f";
/// Time budget of the client, as that of `brief-summary`.
const DEADLINE: Duration = Duration::from_secs(15);
/// Times that a client takes up its stream again.
const RETRIES: u32 = 3;

/// What one client got over all of its tries.
pub struct Received {
    pub name: String,
    /// Number, software version and replica of each event.
    pub events: Vec<(u64, String)>,
    pub is_complete: bool,
}

impl Received {
    /// Software versions whose events the client got.
    pub fn versions(&self) -> BTreeSet<&str> {
        self.events.iter().filter_map(|(_, from)| from.split(' ').next()).collect()
    }
}

/// Tokens of a prompt: those that all callers share, and those of the request itself.
#[derive(Clone, Copy)]
pub struct Prompt(pub u64, pub u64);

/// A prompt of `brief-summary`.
pub const SHORT: Prompt = Prompt(198, 628);
/// A prompt of `pitch-draft`.
pub const LONG: Prompt = Prompt(6300, 2890);

/// Starts the client `number`; its first try goes to the first of `instances`, and each further one
/// to the next.
pub fn start(
    number: usize,
    adapter: String,
    prompt: Prompt,
    instances: Vec<SocketAddr>,
    record: &Arc<Record>,
) -> JoinHandle<Received> {
    let record = Arc::clone(record);
    thread::spawn(move || run(number, &adapter, prompt, &instances, &record))
}

fn run(
    number: usize,
    adapter: &str,
    Prompt(shared, own): Prompt,
    instances: &[SocketAddr],
    record: &Record,
) -> Received {
    let name = format!("stream {number}");
    let until = Instant::now() + DEADLINE;
    let mut received = Received { name: name.clone(), events: Vec::new(), is_complete: false };
    let mut first_attempt: Option<String> = None;
    let (mut tries, mut at) = (0, 0);
    while tries <= RETRIES {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(100) {
            break;
        }
        let addr = instances[at % instances.len()];
        at += 1;
        if std::net::TcpStream::connect_timeout(&addr, Duration::from_secs(1)).is_err() {
            // The platform sends no new channels to a machine that doesn't answer.
            thread::sleep(Duration::from_millis(100));
            continue;
        }
        tries += 1;
        let attempt = format!("{:08x}{tries:08x}", 0x9c41_0000_u32 + number as u32);
        let model = format!("{MODEL}/{adapter}");
        // Callers share the first part by subjects, of which there are 30.
        let subject = 0x5c1e_0000_u32 + number as u32 % 30;
        let request = 0xe440_0000_u32 + number as u32;
        let prefix = format!("{subject:08x}:{shared},{request:08x}:{own}");
        let tokens = format!("{},292", shared + own);
        let budget = left.as_millis().to_string();
        let mut headers = vec![
            ("Host", HOST),
            ("X-Tamaracklead-Attempt-Id", attempt.as_str()),
            ("X-Tamaracklead-Model", model.as_str()),
            ("X-Tamaracklead-Token-Counts", tokens.as_str()),
            ("X-Tamaracklead-Prompt-Prefix", prefix.as_str()),
            ("X-Tamaracklead-Deadline-Ms", budget.as_str()),
        ];
        let last = received.events.last().map(|(id, _)| id.to_string());
        if let (Some(last), Some(first)) = (&last, &first_attempt) {
            headers.push(("Last-Event-Id", last));
            headers.push(("Resumes", first));
        }
        let body = format!("{{\"prompt\":\"{request:08x} of {subject:08x}\"}}");
        record.line(&format!("{name}: sends {attempt} to {addr}, after event {last:?}"));
        let mut buf = String::new();
        let mut events: Vec<(u64, String)> = Vec::new();
        let answer =
            client::send(addr, "POST", PATH, &headers, body.as_bytes(), left, &mut |piece| {
                buf.push_str(&String::from_utf8_lossy(piece));
                while let Some((event, rest)) = buf.split_once("\n\n") {
                    events.extend(parse(event));
                    buf = rest.to_owned();
                }
            });
        if !events.is_empty() && first_attempt.is_none() {
            first_attempt = Some(attempt.clone());
        }
        let (from, count) = (events.first().map(|(_, from)| from.clone()), events.len());
        received.events.extend(events);
        let status = answer.as_ref().map(|answer| answer.status);
        let is_whole = answer.as_ref().is_some_and(|answer| answer.is_whole);
        record.line(&format!(
            "{name}: {attempt} got {status:?}, {count} events, first from {from:?}, whole: {is_whole}"
        ));
        match &answer {
            Some(answer) if answer.status == 200 && is_whole => {
                received.is_complete = true;
                break;
            }
            Some(answer) if answer.status != 200 => {
                let after = answer.head.get("retry-after").and_then(|v| v.parse::<f64>().ok());
                let after = Duration::from_secs_f64(after.unwrap_or(0.2)).min(left / 3);
                thread::sleep(after);
            }
            _ => thread::sleep(Duration::from_millis(50)),
        }
    }
    let versions = received.versions().into_iter().collect::<Vec<_>>().join(" and ");
    record.line(&format!(
        "{name}: ends with {} events of versions {versions}, complete: {}",
        received.events.len(),
        received.is_complete
    ));
    received
}

fn parse(event: &str) -> Option<(u64, String)> {
    let id = event.lines().find_map(|line| line.strip_prefix("id:"))?.trim().parse().ok()?;
    let data = event.lines().find_map(|line| line.strip_prefix("data:"))?.trim().to_owned();
    Some((id, data))
}

/// The operator's configuration with one route to the engines.
pub fn config() -> String {
    config_of(7, &[SERVICE], SERVICE)
}

/// A configuration with these services, whose one route leads to `target`.
pub fn config_of(version: u64, services: &[&str], target: &str) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_conns\":370,\
                 \"protocol\":\"h1\",\"engine\":{{\"slots\":64,\"kv_tokens\":232000,\
                 \"weights_mb\":66000,\"adapter_slots\":8,\"loads_per_s\":2.8,\"models\":[{{\
                 \"name\":\"{MODEL}\",\"weights_mb\":65100,\"load_s\":1.9,\"adapters\":3000,\
                 \"adapter_mb\":12}}]}}}}"
            )
        })
        .collect();
    let services = services.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-2b9wu3f\",\"host\":\"{HOST}\",\
         \"prefix\":\"/lohu930/\",\"kind\":\"stream\",\"timeout_ms\":15000,\"goal_ms\":1000,\
         \"priority\":0,\"service\":\"{target}\",\"attempts\":2,\"sticky\":true,\
         \"resumable\":true,\"gap_target_ms\":600}}],\"services\":[{services}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}
