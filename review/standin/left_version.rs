//! A version's last replica leaves, then all processes are killed; callers take their streams up.

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
const STREAMS: usize = 36;
/// Most streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

pub fn run(dir: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::start();
    let adapters: Vec<String> = (1..=8).map(|number| format!("a{number}")).collect();
    // Both versions have served side by side for an hour.
    let replica = |id, version, age_s| {
        let start = Start {
            id,
            version,
            service: SERVICE,
            addr: "127.0.0.1:0".parse().unwrap(),
            age: Duration::from_secs(age_s),
            adapters: &adapters,
            events: 73,
            gap: Duration::from_millis(80),
        };
        let engine = Engine::start(&start, record);
        engine.publish(&store, "ready");
        engine
    };
    let old = replica("i-0bd818ce", "v1", 7200);
    let newer = ["i-7f3a91c2", "i-fc002de0", "i-9046ff59"];
    let _newer = newer.map(|id| replica(id, "v2", 3600));
    store.put("op/config", &streams::config());
    let mut instances = instance::prepare(INSTANCES, store.addr, dir);
    instances.iter_mut().for_each(instance::Instance::start);
    if !wait_until(Duration::from_secs(15), || instances.iter().all(|i| i.is_ready())) {
        record.line("the instances aren't ready");
        return 2;
    }
    // Owners of the replicas take their leases meanwhile.
    thread::sleep(Duration::from_secs(8));
    let callers: Vec<_> = instances.iter().map(|instance| instance.caller).collect();
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let mut addrs = callers.clone();
        addrs.rotate_left(number % INSTANCES);
        clients.push(streams::start(
            number,
            adapters[number % 8].clone(),
            streams::SHORT,
            addrs,
            record,
        ));
        thread::sleep(Duration::from_millis(25));
    }
    thread::sleep(Duration::from_millis(1000));
    record.line(&format!("{} of {STREAMS} streams run at the replica of v1", old.runs()));
    if old.runs() as usize <= ALLOWED {
        return 2;
    }
    if trouble {
        // It is one of those that never report `draining`: its entry is removed, and it goes on.
        old.leave(&store);
        thread::sleep(Duration::from_millis(700));
        instances.iter_mut().for_each(instance::Instance::kill);
        record.line("all processes of the system are killed");
        thread::sleep(Duration::from_millis(500));
        instances.iter_mut().for_each(instance::Instance::start);
        record.line("they start again");
        thread::sleep(Duration::from_millis(1800));
        old.crash();
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
