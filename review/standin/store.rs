//! Stand-in of the platform's store: items with revisions, listings and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

#[derive(Default)]
struct Items {
    rev: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// Every change, with its revision; `None` for a removal.
    changes: Vec<(u64, String, Option<Vec<u8>>)>,
    /// While it is set, calls get no response, as in an outage of the kind "silent".
    silent: bool,
    /// While it is set, the store is away: its channels are closed.
    away: bool,
    /// Rises by one each time that the store comes back from a copy.
    era: u64,
}

/// A copy of the store.
pub struct Copy {
    rev: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
}

pub struct Store {
    pub addr: SocketAddr,
    items: Mutex<Items>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Arc::new(Self {
            addr: listener.local_addr().unwrap(),
            items: Mutex::new(Items { rev: 100, ..Items::default() }),
            changed: Condvar::new(),
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.lock();
        items.rev += 1;
        let rev = items.rev;
        items.items.insert(key.to_owned(), (value.as_bytes().to_vec(), rev));
        items.changes.push((rev, key.to_owned(), Some(value.as_bytes().to_vec())));
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut items = self.lock();
        items.rev += 1;
        let rev = items.rev;
        if items.items.remove(key).is_some() {
            items.changes.push((rev, key.to_owned(), None));
        }
        self.changed.notify_all();
    }

    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
        self.changed.notify_all();
    }

    pub fn copy(&self) -> Copy {
        let items = self.lock();
        Copy { rev: items.rev, items: items.items.clone() }
    }

    /// Comes back from a copy after it was away: revisions go back and are given out again.
    pub fn come_back_from(&self, copy: Copy, away: Duration) {
        self.lock().away = true;
        self.changed.notify_all();
        thread::sleep(away);
        let mut items = self.lock();
        items.rev = copy.rev;
        items.items = copy.items;
        // The history is gone with the rest.
        items.changes.clear();
        items.era += 1;
        items.away = false;
    }

    pub fn rev(&self) -> u64 {
        self.lock().rev
    }

    fn lock(&self) -> MutexGuard<'_, Items> {
        self.items.lock().unwrap()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader) {
            if http::read_whole_body(&mut reader, &head, false).is_none() {
                return;
            }
            thread::sleep(Duration::from_millis(4));
            let target = head.word().to_owned();
            let (status, body) = if target.starts_with("/api/kv-range") {
                self.range(&target)
            } else if target.starts_with("/api/kv-watch") {
                self.watch(&target)
            } else {
                None
            }
            .unwrap_or((404, String::new()));
            let (silent, away, era) = {
                let items = self.lock();
                (items.silent, items.away, items.era.to_string())
            };
            if silent {
                // A channel on which a response is lost returns nothing further.
                thread::sleep(Duration::from_secs(120));
                return;
            }
            if away {
                return;
            }
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            let response = http::encode_response(status, &headers, body.as_bytes());
            if writer.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn range(&self, target: &str) -> Option<(u16, String)> {
        let prefix = http::query(target, "prefix")?;
        let after = http::query(target, "after").unwrap_or_default();
        let items = self.lock();
        let found = items.items.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        let found: Vec<String> = found.map(|(key, (value, rev))| item(key, value, *rev)).collect();
        let (found, rev) = (found.join(","), items.rev);
        Some((200, format!("{{\"items\":[{found}],\"more_pages\":false,\"as_of\":{rev}}}")))
    }

    fn watch(&self, target: &str) -> Option<(u16, String)> {
        let prefix = http::query(target, "prefix")?;
        let after: u64 = http::query(target, "after")?.parse().ok()?;
        let wait: u64 = http::query(target, "wait_ms")?.parse().ok()?;
        let until = Instant::now() + Duration::from_millis(wait);
        let mut items = self.lock();
        let era = items.era;
        loop {
            if after > items.rev || items.era != era {
                return Some((410, String::new()));
            }
            let new = items.changes.iter().filter(|(r, k, _)| *r > after && k.starts_with(prefix));
            let events: Vec<String> = new
                .map(|(rev, key, value)| match value {
                    Some(value) => item(key, value, *rev),
                    None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"deleted\":true}}"),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || items.silent || items.away {
                let (events, rev) = (events.join(","), items.rev);
                return Some((200, format!("{{\"events\":[{events}],\"as_of\":{rev}}}")));
            }
            items = self.changed.wait_timeout(items, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: &[u8], rev: u64) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created\":{rev},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const TABLE: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - group.len()));
        for at in 0..4 {
            if at <= group.len() {
                text.push(TABLE[(word >> (18 - 6 * at)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
