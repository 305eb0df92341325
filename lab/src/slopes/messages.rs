//! Encoded sizes of messages and published values, without HTTP headers.

use serde::Serialize;
use tamaracklead::decide::ownership::Claimant;
use tamaracklead::decide::ownership::GroupId;
use tamaracklead::decide::ownership::LeaseRequest;
use tamaracklead::decide::permits::PermitKey;
use tamaracklead::decide::permits::Urgency;
use tamaracklead::names::BackendName;
use tamaracklead::names::DataCentre;
use tamaracklead::names::Generation;
use tamaracklead::names::Incarnation;
use tamaracklead::names::InstanceName;
use tamaracklead::wire::frame;
use tamaracklead::wire::listing::FencingMode;
use tamaracklead::wire::peer::Hello;

use super::inputs;

/// Sample of a random incarnation, so that its encoding has the usual size.
const INCARNATION: Incarnation = Incarnation(0x9e37_79b9_7f4a_7c15);

/// Prints the table of sizes.
pub fn print() {
    println!("\n| message | bytes |\n|---|--:|");
    let (root, pages) = inputs::published(17000);
    let page_bytes: usize = pages.values().map(bytes::Bytes::len).sum();
    print_row("published adapter, in its page", page_bytes / 17000);
    print_row("published root, 17 pages", root.len());
    print_row("listed engine", json_len(&inputs::engines(1000)) / 1000);
    print_row("listed entry instance", json_len(&inputs::entries(1000)) / 1000);
    let name = InstanceName::new("entry-00001");
    let hello = Hello {
        name: name.clone(),
        incarnation: INCARNATION,
        generation: Some(Generation(100_000)),
        draining: false,
    };
    print_row("hello between entry instances", msgpack_len(&hello));
    let engine = BackendName::new("engine-00001");
    let group = GroupId::new(&engine, DataCentre::new("dc-1"), FencingMode::Refuse);
    let claimant = Claimant { name, incarnation: INCARNATION };
    print_row("lease request", msgpack_len(&LeaseRequest { group, claimant, round: 100_000 }));
    let key = PermitKey { engine, adapter: inputs::adapter(1) };
    let urgency = Urgency { demanded: true, priority: 5, waiting: 3 };
    print_row("permit application", msgpack_len(&(key, urgency)));
}

fn print_row(name: &str, bytes: usize) {
    println!("| {name} | {bytes} |");
}

fn json_len(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).expect("these types serialize to JSON").len()
}

fn msgpack_len(value: &impl Serialize) -> usize {
    frame::encode(value).expect("these types serialize to MessagePack").len()
}
