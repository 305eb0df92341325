//! A drill: the store is away for a moment and comes back from a copy some seconds old. Later the
//! operator moves a route to another service.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::wait_until;
use crate::engine::Engine;
use crate::engine::SERVICE;
use crate::engine::Start;
use crate::instance;
use crate::instance::Instance;
use crate::record::Record;
use crate::store::Store;
use crate::streams;

const INSTANCES: usize = 3;
const NEW_SERVICE: &str = "drafting-b";
/// `config_ms` and `contact_ms` on the sheet.
const CONFIG_TIME: Duration = Duration::from_millis(2000);
const CONTACT_TIME: Duration = Duration::from_millis(3000);

pub fn run(dir: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::start();
    let adapters: Vec<String> = (1..=4).map(|number| format!("a{number}")).collect();
    let replica = |id, service| {
        let start = Start {
            id,
            version: "v1",
            service,
            addr: "127.0.0.1:0".parse().unwrap(),
            age: Duration::from_secs(3600),
            adapters: &adapters,
            events: 10,
            gap: Duration::from_millis(30),
        };
        let engine = Engine::start(&start, record);
        engine.publish(&store, "ready");
        engine
    };
    let old = ["i-0bd818ce", "i-7f3a91c2"].map(|id| replica(id, SERVICE));
    let new = ["i-fc002de0", "i-9046ff59"].map(|id| replica(id, NEW_SERVICE));
    let services = [SERVICE, NEW_SERVICE];
    store.put("op/config", &streams::config_of(7, &services, SERVICE));
    let mut instances = instance::prepare(INSTANCES, store.addr, dir);
    instances.iter_mut().for_each(Instance::start);
    if !wait_until(Duration::from_secs(15), || instances.iter().all(|i| i.is_ready())) {
        record.line("the instances aren't ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(6));
    let publish = || old.iter().chain(&new).for_each(|engine| engine.publish(&store, "ready"));
    let copy = store.copy();
    record.line(&format!("a copy of the store is made, at revision {}", store.rev()));
    // The replicas write their entries anew, as when what they hold changes, and the operator a
    // configuration in which nothing moves.
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(800));
        publish();
    }
    let same = streams::config_of(8, &services, SERVICE);
    store.put("op/config", &same);
    record.line(&format!("version 8 is acknowledged, at revision {}", store.rev()));
    thread::sleep(Duration::from_millis(1500));
    if trouble {
        record.line(&format!("the store goes away, at revision {}", store.rev()));
        store.come_back_from(copy, Duration::from_millis(500));
        record.line(&format!("it is back from the copy, at revision {}", store.rev()));
        thread::sleep(Duration::from_millis(200));
        store.put("op/config", &same);
        publish();
        record.line(&format!(
            "operator and replicas have written again what they wrote, revision {}",
            store.rev()
        ));
    }
    // The store is stable, and all machines are in touch.
    thread::sleep(CONTACT_TIME + Duration::from_secs(1));
    store.put("op/config", &streams::config_of(9, &services, NEW_SERVICE));
    let acknowledged = Instant::now();
    record.line(&format!(
        "version 9, which moves the route, is acknowledged, at revision {}",
        store.rev()
    ));
    thread::sleep(CONFIG_TIME + Duration::from_secs(1));
    let sent_from = Instant::now();
    let clients: Vec<_> = (0..12)
        .map(|number| {
            let at = vec![instances[number % INSTANCES].caller];
            thread::sleep(Duration::from_millis(200));
            let adapter = adapters[number % adapters.len()].clone();
            streams::start(number, adapter, streams::SHORT, at, record)
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let mut late = 0;
    for engine in &old {
        for begun in engine.begun().iter().filter(|begun| begun.at >= sent_from) {
            late += 1;
            record.line(&format!(
                "{} was run by the old service, {} ms after version 9 was acknowledged",
                begun.attempt,
                begun.at.saturating_duration_since(acknowledged).as_millis()
            ));
        }
    }
    record.line(&format!("{late} of 12 requests were handled as only an older version allows"));
    i32::from(late > 0)
}
