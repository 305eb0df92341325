//! Generated inputs of the measurements, scaled by a count.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::config::Snapshot;
use tamaracklead::decide::engine::QueuedRequest;
use tamaracklead::decide::membership::Identity;
use tamaracklead::decide::membership::Membership;
use tamaracklead::names::AdapterName;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::BackendName;
use tamaracklead::names::DataCentre;
use tamaracklead::names::Generation;
use tamaracklead::names::Incarnation;
use tamaracklead::names::InstanceName;
use tamaracklead::names::ModelName;
use tamaracklead::names::PageName;
use tamaracklead::names::PresetName;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;
use tamaracklead::names::Version;
use tamaracklead::wire::listing::BackendRole;
use tamaracklead::wire::listing::FencingMode;
use tamaracklead::wire::listing::ListedBackend;
use tamaracklead::wire::listing::ListedEntry;
use tamaracklead::wire::listing::ListedState;
use tamaracklead::wire::published::Page;
use tamaracklead::wire::published::PageRef;
use tamaracklead::wire::published::Preset;
use tamaracklead::wire::published::PublishedAdapter;
use tamaracklead::wire::published::Root;

/// Adapter slots of each engine.
pub const SLOTS: usize = 8;
/// Most requests that an engine runs at once.
pub const BATCH: usize = 16;
/// Adapters on each configuration page.
const PAGE_ADAPTERS: usize = 1000;
/// Number of data centres over which instances and engines are spread.
const DATA_CENTRES: usize = 5;

/// The adapter with this number, in version 3.
pub fn adapter(number: usize) -> AdapterRef {
    AdapterRef::new(AdapterName::new(&format!("customer-adapter-{number:05}")), Version(3))
}

/// A request for an adapter that is queued at `now` with a deadline of 8 s.
pub fn queued_request(id: u128, adapter: &AdapterRef, now: Timestamp) -> QueuedRequest {
    QueuedRequest {
        request_id: RequestId(id),
        adapter: adapter.clone(),
        priority: 5,
        arrived: now,
        deadline: now + Duration::from_secs(8),
    }
}

/// `count` engines as the instance list shows them.
pub fn engines(count: usize) -> Vec<ListedBackend> {
    let engine = |number: usize| ListedBackend {
        name: BackendName::new(&format!("engine-{number:05}")),
        addr: addr(),
        incarnation: Some(Incarnation(number as u64 + 1)),
        data_centre: data_centre(number),
        state: ListedState::Live,
        role: BackendRole::Engine {
            model: ModelName::new("base"),
            slots: SLOTS as u32,
            batch: BATCH as u32,
            fencing: FencingMode::Refuse,
        },
    };
    (0..count).map(engine).collect()
}

/// `count` entry instances as the instance list shows them.
pub fn entries(count: usize) -> Vec<ListedEntry> {
    let entry = |number: usize| ListedEntry {
        name: InstanceName::new(&format!("entry-{number:05}")),
        peer_addr: addr(),
        data_centre: data_centre(number),
        state: ListedState::Live,
    };
    (0..count).map(entry).collect()
}

/// The membership view of the instance with this number, after it has read a list of `count`.
pub fn membership(number: usize, count: usize) -> Membership {
    let identity = Identity {
        name: InstanceName::new(&format!("entry-{number:05}")),
        peer_addr: addr(),
        data_centre: data_centre(number),
        incarnation: Incarnation(number as u64 + 1),
    };
    let mut membership = Membership::new(Timestamp::ZERO, identity, number as u64);
    membership.on_listing(Timestamp::ZERO, &entries(count));
    membership
}

/// The root and pages of a published configuration with `count` adapters.
pub fn published(count: usize) -> (Bytes, BTreeMap<PageName, Bytes>) {
    let mut pages = BTreeMap::new();
    let mut refs = Vec::new();
    for first in (0..count).step_by(PAGE_ADAPTERS) {
        let name = PageName::new(&format!("page-{first}"));
        let last = (first + PAGE_ADAPTERS).min(count);
        let bytes = Bytes::from(json(&page(first..last)));
        refs.push(PageRef { name: name.clone(), hash: Snapshot::hash(&bytes) });
        pages.insert(name, bytes);
    }
    let preset = PresetName::new("ordinary");
    let settings = Preset {
        stall_weight: 50,
        pinned: Vec::new(),
        priorities: BTreeMap::new(),
        accepting: true,
    };
    let presets = BTreeMap::from([(preset.clone(), settings)]);
    let root = Root { generation: Generation(1), preset, presets, pages: refs };
    (Bytes::from(json(&root)), pages)
}

/// The assembled snapshot of a generation with `count` adapters.
pub fn snapshot(count: usize) -> Snapshot {
    let (root, pages) = published(count);
    Snapshot::assemble(root, pages).expect("the generated root matches its pages")
}

fn page(numbers: std::ops::Range<usize>) -> Page {
    let published = |number| {
        let versions = vec![Version(1), Version(2), Version(3)];
        (adapter(number).adapter, PublishedAdapter { model: ModelName::new("base"), versions })
    };
    Page { adapters: numbers.map(published).collect() }
}

fn json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("these types serialize to JSON")
}

fn data_centre(number: usize) -> DataCentre {
    DataCentre::new(&format!("dc-{}", number % DATA_CENTRES))
}

fn addr() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1))
}

/// A traffic configuration of this many routes with random names, as the operator publishes it.
pub fn traffic_config(routes: usize) -> Vec<u8> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut text = |length| -> String {
        (0..length).map(|_| char::from(rng.random_range(b'a'..=b'z'))).collect()
    };
    let routes = (0..routes).map(|_| {
        format!(
            r#"{{"name":"r-{}","host":"{}.example","prefix":"/{}/","kind":"safe","timeout_ms":2000,"goal_ms":300,"priority":2,"service":"desk","attempts":2}}"#,
            text(7),
            text(6),
            text(8)
        )
    });
    format!(r#"{{"version":1,"routes":[{}]}}"#, routes.collect::<Vec<_>>().join(",")).into_bytes()
}
