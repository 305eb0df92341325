//! While the store is down, replicas restart one after the other under their ids with a new version.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::wait_until;
use crate::engine::Engine;
use crate::engine::SERVICE;
use crate::engine::Start;
use crate::instance;
use crate::record::Record;
use crate::store::Store;
use crate::streams;

const INSTANCES: usize = 3;
const STREAMS: usize = 48;
/// Most streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

pub fn run(dir: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::start();
    let adapters: Vec<String> = (1..=24).map(|number| format!("a{number}")).collect();
    let start = |id, version, addr: &str, age_s, adapters: &[String]| {
        let start = Start {
            id,
            version,
            service: SERVICE,
            addr: addr.parse().unwrap(),
            age: Duration::from_secs(age_s),
            adapters,
            events: 73,
            gap: Duration::from_millis(80),
        };
        Engine::start(&start, record)
    };
    let ids = ["i-0bd818ce", "i-7f3a91c2", "i-fc002de0", "i-9046ff59"];
    let engines: Vec<_> = ids
        .iter()
        .zip(adapters.chunks(6))
        .map(|(id, held)| start(id, "v1", "127.0.0.1:0", 7200, held))
        .collect();
    engines.iter().for_each(|engine| engine.publish(&store, "ready"));
    store.put("op/config", &streams::config());
    let mut instances = instance::prepare(INSTANCES, store.addr, dir);
    instances.iter_mut().for_each(instance::Instance::start);
    if !wait_until(Duration::from_secs(15), || instances.iter().all(|i| i.is_ready())) {
        record.line("the instances aren't ready");
        return 2;
    }
    // Owners of the replicas take their leases meanwhile.
    thread::sleep(Duration::from_secs(8));
    let mut restarted = Vec::new();
    let mut restart = |index: usize| {
        let old: &Arc<Engine> = &engines[index];
        old.crash();
        thread::sleep(Duration::from_millis(700));
        let engine = start(ids[index], "v2", &old.addr.to_string(), 0, &[]);
        // The store takes the entry as soon as it is back.
        restarted.push(engine);
    };
    if trouble {
        store.set_silent(true);
        record.line("the store is down");
        thread::sleep(Duration::from_millis(300));
        restart(0);
        thread::sleep(Duration::from_millis(2000));
    }
    let callers: Vec<_> = instances.iter().map(|instance| instance.caller).collect();
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let mut addrs = callers.clone();
        addrs.rotate_left(number % INSTANCES);
        clients.push(streams::start(
            number,
            adapters[number % 24].clone(),
            streams::SHORT,
            addrs,
            record,
        ));
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(600));
    if trouble {
        restart(1);
        thread::sleep(Duration::from_millis(2200));
        store.set_silent(false);
        for engine in &restarted {
            engine.publish(&store, "ready");
        }
        record.line("the store is back, and the replicas write their entries");
    }
    let received: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let mixed: Vec<_> = received.iter().filter(|stream| stream.versions().len() > 1).collect();
    let names: Vec<_> = mixed.iter().map(|stream| stream.name.as_str()).collect();
    let complete = received.iter().filter(|stream| stream.is_complete).count();
    record.line(&format!("{complete} of {STREAMS} streams are complete"));
    record.line(&format!(
        "{} streams hold events of two software versions, {ALLOWED} are allowed: {names:?}",
        mixed.len()
    ));
    i32::from(mixed.len() > ALLOWED)
}
