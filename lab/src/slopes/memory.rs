//! Memory of the decisions: growth of this process as more of a thing is kept.

use std::fs;
use std::hint::black_box;
use std::time::Duration;

use tamaracklead::decide::demand::Demand;
use tamaracklead::decide::engine::EngineCore;
use tamaracklead::decide::engine::EngineInput;
use tamaracklead::decide::membership::Membership;
use tamaracklead::names::Timestamp;

use super::inputs;

/// Size of a page of memory, in bytes.
const PAGE: u64 = 4096;

/// Prints the slopes of memory.
///
/// # Errors
///
/// If this process's memory can't be read.
pub fn print() -> Result<(), String> {
    println!("| memory | sizes | bytes each |\n|---|---|--:|");
    line("known adapter, three versions, pages as read", &[3000, 17000, 34000], |size| {
        black_box(inputs::snapshot(size))
    })?;
    line("hot adapter (demand counter)", &[3000, 17000, 34000], |size| {
        let mut demand = Demand::new(Duration::from_secs(60), size);
        for number in 0..size {
            demand.record(Timestamp::ZERO, &inputs::adapter(number));
        }
        demand
    })?;
    line("owned engine, 16 running, 16 waiting", &[100, 1000, 4000], |size| {
        (0..size).map(busy_engine).collect::<Vec<_>>()
    })?;
    line("listed engine", &[1900, 7700, 19000], inputs::engines)?;
    line("member", &[420, 4200, 42000], |size| {
        let mut membership = Membership::default();
        membership.on_listing(&inputs::entries(size));
        membership
    })
}

fn line<T>(name: &str, sizes: &[usize], build: impl Fn(usize) -> T) -> Result<(), String> {
    let mut slopes = Vec::new();
    let mut kept = Vec::new();
    for size in sizes {
        let before = resident()?;
        kept.push(build(*size));
        let grown = resident()?.saturating_sub(before);
        slopes.push(format!("{:.0}", grown as f64 / *size as f64));
    }
    println!("| {name} | {sizes:?} | {} |", slopes.join(", "));
    Ok(())
}

fn busy_engine(number: usize) -> EngineCore {
    let mut core = EngineCore::new(inputs::SLOTS, inputs::BATCH);
    let now = Timestamp::ZERO;
    for request in 0..2 * inputs::BATCH {
        let wanted = inputs::adapter(number * inputs::SLOTS + request % inputs::SLOTS);
        let arrived = inputs::waiting((number * 100 + request) as u128, &wanted, now);
        core.on_input(now, EngineInput::Arrived(arrived));
        core.on_input(now, EngineInput::LoadEnded { adapter: wanted, loaded: true });
    }
    core
}

fn resident() -> Result<u64, String> {
    let text = fs::read_to_string("/proc/self/statm").map_err(|e| e.to_string())?;
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.map(|pages| pages * PAGE).ok_or_else(|| format!("statm says {text:?}"))
}
