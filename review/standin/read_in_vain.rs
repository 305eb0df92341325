//! A replica of one version reads prompts in vain; replicas of another version begin the streams and
//! are withdrawn; then all processes are killed, and callers take their streams up.

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
const STREAMS: usize = 180;
/// Most streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

pub fn run(dir: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::start();
    let adapters: Vec<String> = (1..=8).map(|number| format!("a{number}")).collect();
    let others: Vec<String> = (11..=14).map(|number| format!("a{number}")).collect();
    let replica = |id, version, adapters: &[String]| {
        let start = Start {
            id,
            version,
            service: SERVICE,
            addr: "127.0.0.1:0".parse().unwrap(),
            age: Duration::from_secs(30),
            adapters,
            events: 73,
            gap: Duration::from_millis(80),
        };
        let engine = Engine::start(&start, record);
        engine.publish(&store, "ready");
        engine
    };
    // Three of eight replicas hold the adapters that are asked for.
    let failing = replica("i-7f3a91c2", "v2", &adapters);
    let leaving = ["i-0bd818ce", "i-40f425ee"].map(|id| replica(id, "v1", &adapters));
    let _v1 = ["i-9046ff59", "i-b4158f58"].map(|id| replica(id, "v1", &others));
    let _v2 = ["i-fc002de0", "i-31b174c2", "i-f4313c1e"].map(|id| replica(id, "v2", &others));
    store.put("op/config", &streams::config());
    let mut instances = instance::prepare(INSTANCES, store.addr, dir);
    instances.iter_mut().for_each(instance::Instance::start);
    if !wait_until(Duration::from_secs(15), || instances.iter().all(|i| i.is_ready())) {
        record.line("the instances aren't ready");
        return 2;
    }
    // Owners of the replicas take their leases meanwhile.
    thread::sleep(Duration::from_secs(8));
    if trouble {
        failing.set_fails(45);
        record.line(&format!("{} resets 45 of 100 requests before their first event", failing.id));
    }
    let callers: Vec<_> = instances.iter().map(|instance| instance.caller).collect();
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let mut addrs = callers.clone();
        addrs.rotate_left(number % INSTANCES);
        let adapter = adapters[number % 8].clone();
        clients.push(streams::start(number, adapter, streams::SHORT, addrs, record));
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(700));
    if trouble {
        leaving.iter().for_each(|engine| engine.leave(&store));
        thread::sleep(Duration::from_millis(700));
        instances.iter_mut().for_each(instance::Instance::kill);
        record.line("all processes of the system are killed");
        failing.set_fails(0);
        record.line(&format!("{} is sound again", failing.id));
        thread::sleep(Duration::from_millis(500));
        instances.iter_mut().for_each(instance::Instance::start);
        record.line("they start again");
        thread::sleep(Duration::from_millis(1800));
        leaving.iter().for_each(|engine| engine.crash());
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
