//! Memory of the decisions' state: allocated bytes per item, at several sizes.
//!
//! The bytes requested from the allocator count, without its own overhead.

use std::hint::black_box;
use std::time::Duration;

use peak_alloc::PeakAlloc;
use tamaracklead::decide::demand::DemandCounters;
use tamaracklead::decide::engine::EngineInput;
use tamaracklead::decide::engine::EngineScheduler;
use tamaracklead::names::Timestamp;

use super::inputs;

/// Allocator that counts the bytes in use, for every program that links the lab.
#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Prints the table of bytes per item.
pub fn print() {
    println!("| memory | sizes | bytes each |\n|---|---|--:|");
    print_row("known adapter, three versions, pages as read", &[3000, 17000, 34000], |size| {
        black_box(inputs::snapshot(size))
    });
    print_row("hot adapter (demand counter)", &[3000, 17000, 34000], |size| {
        let mut demand = DemandCounters::new(Duration::from_secs(60), size);
        for number in 0..size {
            demand.record(Timestamp::ZERO, &inputs::adapter(number));
        }
        demand
    });
    print_row("owned engine, 16 running, 16 waiting", &[100, 1000, 4000], |size| {
        (0..size).map(busy_engine).collect::<Vec<_>>()
    });
    print_row("listed engine", &[1900, 7700, 19000], inputs::engines);
    print_row("member", &[420, 4200, 42000], |size| inputs::membership(0, size));
}

/// Prints one row; what `build` returns is dropped only after the measurement.
fn print_row<T>(name: &str, sizes: &[usize], build: impl Fn(usize) -> T) {
    let each = |size: &usize| {
        let before = ALLOCATOR.current_usage();
        let built = black_box(build(*size));
        let grown = ALLOCATOR.current_usage().saturating_sub(before);
        drop(built);
        format!("{:.0}", grown as f64 / *size as f64)
    };
    let slopes: Vec<String> = sizes.iter().map(each).collect();
    println!("| {name} | {sizes:?} | {} |", slopes.join(", "));
}

fn busy_engine(number: usize) -> EngineScheduler {
    let mut scheduler = EngineScheduler::new(inputs::SLOTS, inputs::BATCH);
    let now = Timestamp::ZERO;
    for request in 0..2 * inputs::BATCH {
        let wanted = inputs::adapter(number * inputs::SLOTS + request % inputs::SLOTS);
        let arrived = inputs::queued_request((number * 100 + request) as u128, &wanted, now);
        scheduler.on_input(now, EngineInput::Arrived(arrived));
        scheduler.on_input(now, EngineInput::LoadEnded { adapter: wanted, loaded: true });
    }
    scheduler
}
