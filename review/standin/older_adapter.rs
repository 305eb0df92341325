//! A machine that orders a replica is lost just as a new version of an adapter is declared, while
//! callers ask for that adapter.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::wait_until;
use crate::engine::Engine;
use crate::engine::MODEL;
use crate::engine::SERVICE;
use crate::engine::Start;
use crate::instance;
use crate::instance::Instance;
use crate::record::Record;
use crate::store::Store;
use crate::streams;

const INSTANCES: usize = 4;
/// Time for which a machine without power is dark, as in the site file.
const DARK: Duration = Duration::from_millis(3500);
/// `version_ms` on the sheet.
const VERSION_TIME: Duration = Duration::from_millis(5000);

pub fn run(dir: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::start();
    let hot = "a1".to_owned();
    let others: Vec<String> = (2..=4).map(|number| format!("a{number}")).collect();
    let replica = |id, adapters: &[String]| {
        let start = Start {
            id,
            version: "v1",
            service: SERVICE,
            addr: "127.0.0.1:0".parse().unwrap(),
            age: Duration::from_secs(3600),
            adapters,
            events: 73,
            gap: Duration::from_millis(80),
        };
        let engine = Engine::start(&start, record);
        engine.publish(&store, "ready");
        engine
    };
    let holder = replica("i-0bd818ce", std::slice::from_ref(&hot));
    let engines =
        [&holder, &replica("i-7f3a91c2", &others), &replica("i-fc002de0", &others)].map(Arc::clone);
    store.put("op/config", &streams::config());
    let mut instances = instance::prepare(INSTANCES, store.addr, dir);
    instances.iter_mut().for_each(Instance::start);
    if !wait_until(Duration::from_secs(15), || instances.iter().all(|i| i.is_ready())) {
        record.line("the instances aren't ready");
        return 2;
    }
    // Owners of the replicas take their leases meanwhile.
    thread::sleep(Duration::from_secs(8));
    // A machine orders the replica to load an adapter, by which it shows itself.
    let mut number = 0;
    let mut ask = |adapter: &str, prompt, at| {
        number += 1;
        streams::start(number, adapter.to_owned(), prompt, vec![at], record)
    };
    for extra in 10..30 {
        if !holder.orders().is_empty() {
            break;
        }
        drop(ask(&format!("a{extra}"), streams::SHORT, instances[0].caller).join());
    }
    let Some(owner) = holder.orders().last().map(|order| order.holder.clone()) else {
        record.line("nobody has ordered the replica");
        return 2;
    };
    let at = instances.iter().position(|i| i.name == owner).expect("the owner's place");
    let mut lost = instances.remove(at);
    let callers: Vec<_> = instances.iter().map(|instance| instance.caller).collect();
    let mut clients: Vec<_> = callers.iter().map(|at| ask(&hot, streams::SHORT, *at)).collect();
    thread::sleep(Duration::from_millis(500));
    if trouble {
        lost.kill();
        record.line(&format!("{} is lost, which orders {}", lost.name, holder.id));
    }
    thread::sleep(Duration::from_millis(20));
    let key = format!("op/version/{MODEL}.{hot}");
    let declared = format!("{{\"model\":\"{MODEL}\",\"adapter\":\"{hot}\",\"version\":2}}");
    store.put(&key, &declared);
    let acknowledged = Instant::now();
    record.line(&format!("version 2 of {hot} is acknowledged"));
    for turn in 0..24 {
        let due = Duration::from_millis(1600 + 12 * turn);
        thread::sleep(due.saturating_sub(acknowledged.elapsed()));
        clients.push(ask(&hot, streams::LONG, callers[turn as usize % callers.len()]));
    }
    if trouble {
        thread::sleep(DARK.saturating_sub(acknowledged.elapsed()));
        lost.start();
        record.line(&format!("{} starts again", lost.name));
    }
    thread::sleep(Duration::from_secs(8).saturating_sub(acknowledged.elapsed()));
    let mut late = 0;
    for engine in &engines {
        for begun in engine.begun() {
            let after = begun.at.saturating_duration_since(acknowledged);
            if begun.adapter == hot && begun.version < 2 && after > VERSION_TIME {
                late += 1;
                record.line(&format!(
                    "{} began on version {} of {hot} {} ms after version 2 was acknowledged, at {}",
                    begun.attempt,
                    begun.version,
                    after.as_millis(),
                    engine.id
                ));
            }
        }
    }
    record.line(&format!("{late} requests began on the older version too late"));
    clients.into_iter().for_each(|client| drop(client.join()));
    i32::from(late > 0)
}
