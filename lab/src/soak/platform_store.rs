//! The platform's store of a soak, with the operator who writes to it, and its troubles.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;
use tamaracklead_standin::AWKWARD_KEYS;
use tamaracklead_standin::AwkwardItem;
use tamaracklead_standin::DeclaredVersions;
use tamaracklead_standin::Store;
use tamaracklead_standin::StoreFront;
use tamaracklead_standin::StoreTrouble;
use tamaracklead_standin::awkward_items;
use tamaracklead_standin::items_without_key;
use tamaracklead_standin::soak_config;

use super::disruption::StoreFault;
use super::record::DeclaredVersion;
use super::record::Record;

/// Part of the adapters of which a change declares new versions: one in this many.
const ADAPTER_STEP: usize = 4;
/// Numbers of items on a page, of which a soak has one.
const PAGE_ITEMS: [usize; 5] = [1, 2, 3, 5, 500];
/// Topics that other writers write to.
const ODD_PREFIXES: [&str; 2] = ["servers/", "op/version/"];

/// The store and what the operator has published.
pub struct PlatformStore {
    store: Store,
    front: StoreFront,
    adapters: u32,
    config_version: AtomicU64,
    versions: DeclaredVersions,
    record: Arc<Record>,
    /// Held while the operator writes.
    writing: Mutex<()>,
    /// Keys of another writer.
    odd_keys: Mutex<Vec<Vec<u8>>>,
    page_items: usize,
}

impl PlatformStore {
    /// Starts a store with a first configuration for so many adapters, and pages drawn from a seed.
    pub fn start(adapters: u32, seed: u64, record: Arc<Record>) -> Self {
        let store = Store::start();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let page_items = PAGE_ITEMS[rng.random_range(0..PAGE_ITEMS.len())];
        println!("  listings in pages of {page_items}");
        store.set_page_items(page_items);
        let front = StoreFront::start(store.addr);
        let started = Self {
            store,
            front,
            adapters,
            config_version: AtomicU64::new(1),
            versions: DeclaredVersions::default(),
            record,
            writing: Mutex::default(),
            odd_keys: Mutex::default(),
            page_items,
        };
        started.publish_config();
        started
    }

    /// Where instances reach it.
    pub fn addr(&self) -> SocketAddr {
        self.front.addr
    }

    /// The adapters' declared versions, which change with [`Self::change_config`].
    pub fn versions(&self) -> DeclaredVersions {
        Arc::clone(&self.versions)
    }

    /// Writes the entry of a backend server.
    pub fn put_entry(&self, name: &str, entry: &Value) {
        self.store.put(&format!("servers/{name}"), entry);
    }

    /// Removes the entry of a backend server.
    pub fn remove_entry(&self, name: &str) {
        self.store.remove(&format!("servers/{name}"));
    }

    /// Publishes the next configuration, and the next versions of some adapters.
    pub fn change_config(&self) {
        let _writing = self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        let number = self.config_version.fetch_add(1, Ordering::Relaxed) as usize + 1;
        self.publish_config();
        let first = number % ADAPTER_STEP;
        for adapter in (1..=self.adapters).skip(first).step_by(ADAPTER_STEP) {
            self.declare_next_version(&format!("a{adapter}"));
        }
    }

    /// Version of the present configuration.
    pub fn config_version(&self) -> u64 {
        self.config_version.load(Ordering::Relaxed)
    }

    /// Writes awkward keys and odd items of another writer; sometimes forgets history at once, so that all
    /// instances list them.
    pub fn put_odd_items(&self, rng: &mut ChaCha8Rng) {
        let mut keys = self.odd_keys.lock().unwrap_or_else(PoisonError::into_inner);
        for prefix in ODD_PREFIXES {
            for tail in AWKWARD_KEYS.choose_multiple(rng, AWKWARD_KEYS.len() / 2) {
                let key = format!("{prefix}{tail}");
                let entry =
                    json!({"service": "another", "model": "base", "adapter": tail, "version": 1});
                self.store.put(&key, &entry);
                keys.push(key.into());
            }
            for item in self.odd_items(prefix, rng) {
                self.store.put_awkward_item(&item);
                keys.push(item.key);
            }
        }
        if rng.random_bool(0.5) {
            self.forget_history();
        }
    }

    /// Items of a prefix that can't be read. A page of one item that names no key couldn't be gone on from, so
    /// that such items stand only on longer ones, and apart from each other.
    fn odd_items(&self, prefix: &str, rng: &mut ChaCha8Rng) -> Vec<AwkwardItem> {
        let count = awkward_items("").len();
        let mut items: Vec<AwkwardItem> = (0..count)
            .map(|n| awkward_items(&format!("{prefix}b-odd-{n}")).swap_remove(n))
            .collect();
        items.retain(|_| rng.random_bool(0.5));
        if self.page_items > 1 {
            let text = items_without_key().choose(rng).cloned().unwrap_or_default();
            items.push(AwkwardItem { key: format!("{prefix}b-odd-x").into(), text });
        }
        items
    }

    /// Removes what [`Self::put_odd_items`] wrote.
    pub fn remove_odd_items(&self) {
        let mut keys = self.odd_keys.lock().unwrap_or_else(PoisonError::into_inner);
        keys.drain(..).for_each(|key| self.store.remove_bytes(&key));
    }

    /// Begins a fault.
    pub fn begin(&self, fault: StoreFault) {
        match fault {
            StoreFault::Silent => self.front.begin(StoreTrouble::Silent),
            StoreFault::Away => self.front.begin(StoreTrouble::Away),
            StoreFault::Slow => self.front.begin(StoreTrouble::Slow),
            StoreFault::TurnsAway => self.front.begin(StoreTrouble::TurnsAway),
            StoreFault::ForgetsHistory => self.forget_history(),
            StoreFault::Restored => self.store.take_copy(),
        }
    }

    /// Ends the present fault.
    pub fn end(&self) {
        self.front.end();
    }

    /// Discards the history up to now, and that of the next change.
    pub fn forget_history(&self) {
        self.store.forget_before(self.store.revision() + 1);
    }

    /// Comes back from the copy in a new era; the operator and, by `republish`, the backend servers
    /// write again before instances reach it.
    pub fn restore(&self, republish: impl FnOnce()) {
        let writing = self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        self.front.begin(StoreTrouble::Away);
        self.store.restore();
        self.publish_config();
        let versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for (adapter, version) in versions {
            self.publish_version(&adapter, version);
        }
        republish();
        self.front.end();
        drop(writing);
    }

    fn publish_config(&self) {
        let version = self.config_version.load(Ordering::Relaxed);
        self.store.put("op/config", &soak_config(version, self.adapters));
    }

    fn publish_version(&self, adapter: &str, version: u64) {
        let entry = json!({"model": "base", "adapter": adapter, "version": version});
        self.store.put(&format!("op/version/base.{adapter}"), &entry);
    }

    fn declare_next_version(&self, adapter: &str) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let version = versions.entry(adapter.to_owned()).or_insert(1);
        *version += 1;
        let version = *version;
        drop(versions);
        self.publish_version(adapter, version);
        let at = self.record.time_of(Instant::now());
        self.record.add_version(DeclaredVersion { at, adapter: adapter.into(), version });
    }
}
