//! Bytes of messages and published values, without the headers of HTTP.

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

/// Sample of a random incarnation.
const INCARNATION: Incarnation = Incarnation(0x9e37_79b9_7f4a_7c15);

/// Prints the sizes of messages.
pub fn print() {
    println!("\n| message | bytes |\n|---|--:|");
    let (root, pages) = inputs::published(17000);
    let page_bytes: usize = pages.values().map(bytes::Bytes::len).sum();
    line("published adapter, in its page", page_bytes / 17000);
    line("published root, 17 pages", root.len());
    line("listed engine", json(&inputs::engines(1000)) / 1000);
    line("listed entry instance", json(&inputs::entries(1000)) / 1000);
    let name = InstanceName::new("entry-00001");
    let hello = Hello {
        name: name.clone(),
        incarnation: INCARNATION,
        generation: Some(Generation(100_000)),
        draining: false,
    };
    line("hello between entry instances", packed(&hello));
    let engine = BackendName::new("engine-00001");
    let group = GroupId::new(&engine, DataCentre::new("dc-1"), FencingMode::Refuse);
    let claimant = Claimant { name, incarnation: INCARNATION };
    line("lease request", packed(&LeaseRequest { group, claimant, round: 100_000 }));
    let key = PermitKey { engine, adapter: inputs::adapter(1) };
    let urgency = Urgency { demanded: true, priority: 5, waiting: 3 };
    line("permit application", packed(&(key, urgency)));
}

fn line(name: &str, bytes: usize) {
    println!("| {name} | {bytes} |");
}

fn json(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).expect("these types have a JSON form").len()
}

fn packed(value: &impl Serialize) -> usize {
    frame::encode(value).expect("these types have a packed form").len()
}
