//! The platform's store of a soak, with the operator who writes to it, and its troubles.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tamaracklead_standin::DeclaredVersions;
use tamaracklead_standin::Store;
use tamaracklead_standin::StoreFront;
use tamaracklead_standin::StoreTrouble;
use tamaracklead_standin::soak_config;

use super::disruption::StoreFault;
use super::record::DeclaredVersion;
use super::record::Record;

/// Part of the adapters of which a change declares new versions: one in this many.
const ADAPTER_STEP: usize = 4;

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
}

impl PlatformStore {
    /// Starts a store with a first configuration for so many adapters.
    pub fn start(adapters: u32, record: Arc<Record>) -> Self {
        let store = Store::start();
        let front = StoreFront::start(store.addr);
        let started = Self {
            store,
            front,
            adapters,
            config_version: AtomicU64::new(1),
            versions: DeclaredVersions::default(),
            record,
            writing: Mutex::default(),
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
