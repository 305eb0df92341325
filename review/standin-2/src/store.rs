//! The platform's store: items, a history of some seconds, listings and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{response, Conn, Head};
use crate::program::free_addr;

/// Time for which the store keeps its changes, as the sheets say (`history_s`).
pub const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
}

struct Change {
    rev: u64,
    at: Instant,
    key: String,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    /// Revision of the last change that was dropped from the history.
    dropped: u64,
}

pub struct Store {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> Self {
        let addr = free_addr();
        let listener = TcpListener::bind(addr).expect("store address");
        let state: Arc<Mutex<State>> =
            Arc::new(Mutex::new(State { rev: 100, dropped: 100, ..State::default() }));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                thread::spawn(move || serve(Conn::new(stream), &state));
            }
        });
        Self { addr, state }
    }

    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        let created = state.items.get(key).map_or(rev, |item| item.created);
        let item = Item { value: base64(value.as_bytes()), rev, created };
        state.items.insert(key.to_owned(), item.clone());
        let change = Change { rev, at: Instant::now(), key: key.to_owned(), item: Some(item) };
        state.history.push(change);
        rev
    }
}

fn serve(mut conn: Conn, state: &Mutex<State>) {
    while let Ok(head) = conn.read_head() {
        let (status, body) = answer(&head, state);
        let bytes = response(
            status,
            &[("Content-Type", "application/json"), ("Store-Era", "1")],
            body.as_bytes(),
        );
        if conn.write(&bytes).is_err() {
            return;
        }
    }
}

fn answer(head: &Head, state: &Mutex<State>) -> (u16, String) {
    let prefix = head.query("prefix").unwrap_or("").replace("%2F", "/");
    match head.path() {
        "/api/kv-range" => {
            let state = state.lock().unwrap();
            let after = head.query("after").unwrap_or("").replace("%2F", "/");
            let items: Vec<String> = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after))
                .map(|(key, item)| written(key, item))
                .collect();
            (
                200,
                format!(
                    "{{\"items\":[{}],\"more_pages\":false,\"as_of\":{}}}",
                    items.join(","),
                    state.rev
                ),
            )
        }
        "/api/kv-watch" => watch(head, &prefix, state),
        _ => (404, "{}".to_owned()),
    }
}

fn watch(head: &Head, prefix: &str, state: &Mutex<State>) -> (u16, String) {
    let number = |name| head.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
    let began = Instant::now();
    loop {
        {
            let mut state = state.lock().unwrap();
            drop_old(&mut state);
            if after < state.dropped {
                return (410, "{}".to_owned());
            }
            let new = state.history.iter().filter(|c| c.rev > after && c.key.starts_with(prefix));
            let events: Vec<String> = new.map(event).collect();
            if !events.is_empty() || began.elapsed() >= wait {
                return (
                    200,
                    format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), state.rev),
                );
            }
        }
        thread::sleep(Duration::from_millis(3));
    }
}

fn drop_old(state: &mut State) {
    let is_old = |change: &Change| change.at.elapsed() >= HISTORY;
    let count = state.history.iter().take_while(|change| is_old(change)).count();
    if let Some(last) = state.history.drain(..count).last() {
        state.dropped = last.rev;
    }
}

fn written(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":0}}",
        item.value, item.rev, item.created
    )
}

fn event(change: &Change) -> String {
    match &change.item {
        Some(item) => written(&change.key, item),
        None => format!("{{\"key\":\"{}\",\"rev\":{},\"deleted\":true}}", change.key, change.rev),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let bits = part.iter().fold(0u32, |all, byte| all << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for place in 0..4 {
            if place <= part.len() {
                text.push(DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
