//! The three machines that the seeds name are lost, and a machine is added.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::wait_until;
use crate::engine::Engine;
use crate::engine::ReceivedOrder;
use crate::engine::SERVICE;
use crate::engine::Start;
use crate::instance;
use crate::instance::Instance;
use crate::record::Record;
use crate::store::Store;
use crate::streams;

/// Machines at the start, of which the seeds name the first three.
const INSTANCES: usize = 6;
const REPLICAS: usize = 6;
/// `lease_ms` and `seed_lag_s` on the sheet.
const LEASE: Duration = Duration::from_millis(3000);
const SEED_LAG: Duration = Duration::from_secs(3);

pub fn run(dir: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::start();
    let busy: Vec<String> = (1..=3).map(|number| format!("a{number}")).collect();
    let replica = |index: usize| {
        let start = Start {
            id: &format!("i-{:08x}", 0x0bd8_18ce_u32.wrapping_mul(index as u32 + 1)),
            version: "v1",
            service: SERVICE,
            addr: "127.0.0.1:0".parse().unwrap(),
            age: Duration::from_secs(3600),
            adapters: &busy,
            events: 10,
            gap: Duration::from_millis(30),
        };
        let engine = Engine::start(&start, record);
        engine.publish(&store, "ready");
        engine
    };
    let engines: Vec<Arc<Engine>> = (0..REPLICAS).map(replica).collect();
    store.put("op/config", &streams::config());
    let mut instances = instance::prepare(INSTANCES + 1, store.addr, dir);
    let mut added = instances.pop().expect("the spare machine");
    instances.iter_mut().for_each(Instance::start);
    if !wait_until(Duration::from_secs(15), || instances.iter().all(|i| i.is_ready())) {
        record.line("the instances aren't ready");
        return 2;
    }
    // Owners of the replicas take their leases meanwhile.
    thread::sleep(Duration::from_secs(8));
    let callers = |instances: &[Instance]| instances.iter().map(|i| i.caller).collect::<Vec<_>>();
    // Something is loaded at each replica, so that the rest of the case begins with known holders.
    let mut clients = Vec::new();
    for number in 0..12 {
        let at = callers(&instances[3..]);
        clients.push(streams::start(
            number,
            format!("a{}", 10 + number),
            streams::SHORT,
            at,
            record,
        ));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let lost_at = Instant::now();
    if trouble {
        instances[..3].iter_mut().for_each(Instance::kill);
        record.line("the three machines that the seeds name are lost");
    }
    thread::sleep(Duration::from_millis(300));
    added.start();
    let started_at = Instant::now();
    record.line("a machine is added");
    thread::sleep(SEED_LAG.saturating_sub(lost_at.elapsed()));
    if trouble {
        let seeds: Vec<_> = instances[3..].iter().map(|instance| instance.peer).collect();
        added.write_settings(&seeds);
        record.line("its settings name machines that are there");
    }
    // Rare adapters are asked for at once, first of the added machine, then of all.
    let mut clients = Vec::new();
    thread::sleep(Duration::from_millis(3550).saturating_sub(started_at.elapsed()));
    for number in 100..148 {
        if number == 112 {
            thread::sleep(Duration::from_millis(3700).saturating_sub(started_at.elapsed()));
        }
        let at = match number % 4 {
            0 => added.caller,
            _ if number < 112 => added.caller,
            place => instances[2 + place].caller,
        };
        clients.push(streams::start(
            number,
            format!("a{number}"),
            streams::SHORT,
            vec![at],
            record,
        ));
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_secs(3));
    let mut broken = 0;
    for engine in &engines {
        for fault in faults(&engine.orders()) {
            record.line(&format!("{}: {fault}", engine.id));
            broken += 1;
        }
        if engine.is_overfull() {
            record.line(&format!("{} was ordered to load more than it holds", engine.id));
        }
    }
    record.line(&format!("{broken} orders break the rule"));
    clients.into_iter().for_each(|client| drop(client.join()));
    i32::from(broken > 0)
}

/// Orders that break the rule: those with no higher fence than an earlier one of another holder, and those
/// of a holder that takes turns with another within the lease. Orders that the replica refused count, too.
fn faults(orders: &[ReceivedOrder]) -> Vec<String> {
    let mut found = Vec::new();
    for (at, order) in orders.iter().enumerate() {
        let before = &orders[..at];
        let others = before.iter().filter(|other| other.holder != order.holder);
        if let Some(highest) = others.max_by_key(|other| other.fence)
            && highest.fence >= order.fence
        {
            found.push(format!(
                "{:?} of {} with fence {} ({}) comes {} ms after {:?} of {} with fence {} ({})",
                order.text,
                order.holder,
                order.fence,
                order.status,
                (order.at - highest.at).as_millis(),
                highest.text,
                highest.holder,
                highest.fence,
                highest.status,
            ));
        }
        let own = before.iter().rposition(|other| other.holder == order.holder);
        let Some(own) = own.filter(|own| order.at - before[*own].at < LEASE) else { continue };
        if let Some(other) = before[own..].iter().find(|other| other.holder != order.holder) {
            found.push(format!(
                "{} takes turns with {} within {} ms",
                order.holder,
                other.holder,
                (order.at - before[own].at).as_millis(),
            ));
        }
    }
    found
}
