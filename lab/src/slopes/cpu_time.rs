//! Processor time of single decisions, by the size of their input.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use tamaracklead::decide::config::Snapshot;
use tamaracklead::decide::demand::DemandCounters;
use tamaracklead::decide::engine::EngineInput;
use tamaracklead::decide::engine::EngineScheduler;
use tamaracklead::decide::engine::EngineSummary;
use tamaracklead::decide::membership::MembershipAction;
use tamaracklead::decide::ownership::Claimant;
use tamaracklead::decide::ownership::GroupId;
use tamaracklead::decide::ownership::LeaseGranter;
use tamaracklead::decide::ownership::LeaseRequest;
use tamaracklead::decide::ownership::LeaseTiming;
use tamaracklead::decide::permits::PermitIssuer;
use tamaracklead::decide::permits::PermitKey;
use tamaracklead::decide::permits::StoreLimits;
use tamaracklead::decide::permits::Urgency;
use tamaracklead::decide::routing;
use tamaracklead::decide::submissions::Ticket;
use tamaracklead::decide::transfer::LargeValue;
use tamaracklead::decide::transfer::ValueId;
use tamaracklead::names::BackendName;
use tamaracklead::names::DataCentre;
use tamaracklead::names::Incarnation;
use tamaracklead::names::InstanceName;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;
use tamaracklead::transfer::decode_value;
use tamaracklead::transfer::encode_value;
use tamaracklead::wire::caller::VersionChoice;
use tamaracklead::wire::gossip::Gossip;
use tamaracklead::wire::listing::FencingMode;

use super::inputs;

/// Time for which each measurement repeats its operation.
const MEASURE_FOR: Duration = Duration::from_millis(200);

/// Prints the table of microseconds per operation.
pub fn print() {
    println!("\n| processor | size | microseconds each |\n|---|--:|--:|");
    for size in [3000, 17000] {
        let snapshot = inputs::snapshot(size);
        let wanted = inputs::adapter(size / 2).adapter;
        print_row("resolve a version, by adapters", size, || {
            black_box(snapshot.resolve(&wanted, VersionChoice::Newest)).is_ok()
        });
        let (root, pages) = inputs::published(size);
        print_row("apply a generation with every page, by adapters", size, || {
            Snapshot::assemble(root.clone(), pages.clone()).is_ok()
        });
    }
    for size in [12, 100, 633, 1900] {
        let engines = inputs::engines(size);
        let wanted = inputs::adapter(7);
        print_row("rank every engine for an adapter, by engines", size, || {
            black_box(routing::rank_engines(&wanted.adapter, engines.clone())).len()
        });
        print_row("two homes of an adapter, by engines", size, || {
            black_box(routing::top_ranked_engines(&wanted.adapter, &engines, 2)).len()
        });
    }
    measure_engine_choice();
    for size in [0, 16, 64] {
        measure_owner_queue(size);
    }
    for size in [420, 4200] {
        let entries = inputs::entries(size);
        let mut membership = inputs::membership(0, size);
        let gossip = first_gossip_message(size);
        print_row("heartbeat heard, by members", size, || {
            membership.on_gossip(Timestamp::ZERO, gossip.clone()).1.len()
        });
        print_row("read the instance list, by members", size, || {
            membership.on_listing(Timestamp::ZERO, &entries);
        });
    }
    for routes in [40, 1400, 2800] {
        measure_value_encoding(routes);
    }
    for size in [10, 100, 1000] {
        measure_permit_grant(size);
    }
    measure_demand_counter();
    measure_ticket();
    measure_lease_renewal();
}

/// The first gossip message that another instance sends after its start.
fn first_gossip_message(size: usize) -> Gossip {
    let mut sender = inputs::membership(1, size);
    let sent = sender.tick(Timestamp::from_millis(1)).into_iter().find_map(|action| match action {
        MembershipAction::Send { message, .. } => Some(message),
        _ => None,
    });
    sent.expect("an instance sends gossip to its peers when it starts")
}

/// Encodes a configuration, whole and as the difference from one without half of its routes.
fn measure_value_encoding(routes: usize) {
    let (before, after) = (inputs::traffic_config(routes / 2), inputs::traffic_config(routes));
    let value = LargeValue { id: ValueId::of(&after), size: after.len() as u32 };
    let base = (ValueId::of(&before), &before[..]);
    let encode = |base| encode_value(&after, base).map(|encoded| encoded.bytes);
    print_row("encode a configuration, by routes", routes, || encode(None).is_ok());
    print_row("encode the difference, by routes", routes, || encode(Some(base)).is_ok());
    let (whole, difference) = (encode(None).unwrap(), encode(Some(base)).unwrap());
    print_row("decode a configuration, by routes", routes, || {
        decode_value(value, &whole, None).is_ok()
    });
    print_row("decode the difference, by routes", routes, || {
        decode_value(value, &difference, Some(&before)).is_ok()
    });
    println!(
        "| bytes: value, encoded, difference | {routes} | {}, {}, {} |",
        after.len(),
        whole.len(),
        difference.len()
    );
}

fn measure_engine_choice() {
    let summary = EngineSummary {
        ready: (0..inputs::SLOTS).map(inputs::adapter).collect(),
        batch: inputs::BATCH,
        victim_demand: Some(1.0),
        ..EngineSummary::default()
    };
    let wanted = inputs::adapter(7);
    print_row("choose between two homes", 2, || {
        black_box(routing::choose_engine(&wanted, &[&summary, &summary], 50))
    });
}

fn measure_owner_queue(waiting: usize) {
    let now = Timestamp::ZERO;
    let mut scheduler = EngineScheduler::new(inputs::SLOTS, 2);
    let wanted = inputs::adapter(0);
    let mut id = 0;
    for _ in 0..waiting + 2 {
        id += 1;
        scheduler.on_input(now, EngineInput::Arrived(inputs::queued_request(id, &wanted, now)));
    }
    scheduler.on_input(now, EngineInput::LoadEnded { adapter: wanted.clone(), loaded: true });
    print_row("request through an owner's queue, by waiting", waiting, || {
        id += 1;
        scheduler.on_input(now, EngineInput::Arrived(inputs::queued_request(id, &wanted, now)));
        let running = scheduler.running().keys().next().copied().unwrap_or(RequestId(0));
        scheduler.on_input(now, EngineInput::Ended(running)).len()
    });
}

fn measure_permit_grant(waiting: usize) {
    let limits = StoreLimits { rate: 1e6, in_flight: 8, load_time: Duration::from_millis(250) };
    let mut issuer = PermitIssuer::new(Timestamp::ZERO, limits);
    let key = |number| PermitKey {
        engine: BackendName::new("engine-00001"),
        adapter: inputs::adapter(number),
    };
    let urgency = Urgency { demanded: true, priority: 5, waiting: 1 };
    for number in 0..waiting {
        issuer.on_permit_request(Timestamp::ZERO, key(number), urgency);
    }
    let mut now = Timestamp::ZERO;
    let mut number = waiting;
    print_row("permit asked for, granted and ended, by waiting", waiting, || {
        now = now + Duration::from_micros(1);
        number += 1;
        issuer.on_permit_request(now, key(number), urgency);
        for key in issuer.grant(now) {
            issuer.on_ended(now, &key);
        }
    });
}

fn measure_demand_counter() {
    let mut demand = DemandCounters::new(Duration::from_secs(60), 128);
    let adapters: Vec<_> = (0..1000).map(inputs::adapter).collect();
    let mut number = 0;
    print_row("request counted, 128 adapters kept", 128, || {
        number += 1;
        demand.record(Timestamp::ZERO, &adapters[number % adapters.len()]);
    });
}

fn measure_lease_renewal() {
    let mut granter = LeaseGranter::new(LeaseTiming::default());
    let engine = BackendName::new("engine-00001");
    let group = GroupId::new(&engine, DataCentre::new("dc-1"), FencingMode::Refuse);
    granter.on_panels(Timestamp::ZERO, &BTreeSet::from([group.clone()]));
    let claimant = Claimant { name: InstanceName::new("entry-00001"), incarnation: Incarnation(1) };
    let mut request = LeaseRequest { group, claimant, round: 0 };
    print_row("lease renewed by a panel member", 1, || {
        request.round += 1;
        black_box(granter.on_request(Timestamp::ZERO, &request)).granted
    });
}

fn measure_ticket() {
    let key = [7_u8; 32];
    let ticket = Ticket {
        id: RequestId(1),
        issuer: InstanceName::new("entry-00001"),
        incarnation: Incarnation(1),
        expires_ms: 60_000,
    };
    let token = ticket.sign(&key);
    print_row("ticket signed", 1, || black_box(ticket.sign(&key)).len());
    print_row("ticket verified", 1, || black_box(Ticket::verify(&token, &key)).is_ok());
}

fn print_row<T>(name: &str, size: usize, mut run: impl FnMut() -> T) {
    let begun = Instant::now();
    let mut count = 0_u32;
    while begun.elapsed() < MEASURE_FOR {
        black_box(run());
        count += 1;
    }
    let each = begun.elapsed().as_secs_f64() * 1e6 / f64::from(count);
    println!("| {name} | {size} | {each:.2} |");
}
