//! Memory of the decisions: bytes allocated for more of a thing.
//!
//! Counted are the bytes asked of the allocator, without its own overhead.

use std::hint::black_box;
use std::time::Duration;

use peak_alloc::PeakAlloc;
use tamaracklead::decide::demand::DemandCounters;
use tamaracklead::decide::engine::EngineInput;
use tamaracklead::decide::engine::EngineScheduler;
use tamaracklead::names::Timestamp;

use super::inputs;

/// Counts the bytes allocated by the lab's programs.
#[global_allocator]
static ALLOCATED: PeakAlloc = PeakAlloc;

/// Prints the slopes of memory.
pub fn print() {
    println!("| memory | sizes | bytes each |\n|---|---|--:|");
    line("known adapter, three versions, pages as read", &[3000, 17000, 34000], |size| {
        black_box(inputs::snapshot(size))
    });
    line("hot adapter (demand counter)", &[3000, 17000, 34000], |size| {
        let mut demand = DemandCounters::new(Duration::from_secs(60), size);
        for number in 0..size {
            demand.record(Timestamp::ZERO, &inputs::adapter(number));
        }
        demand
    });
    line("owned engine, 16 running, 16 waiting", &[100, 1000, 4000], |size| {
        (0..size).map(busy_engine).collect::<Vec<_>>()
    });
    line("listed engine", &[1900, 7700, 19000], inputs::engines);
    line("member", &[420, 4200, 42000], |size| inputs::membership(0, size));
}

fn line<T>(name: &str, sizes: &[usize], build: impl Fn(usize) -> T) {
    let each = |size: &usize| {
        let before = ALLOCATED.current_usage();
        let built = black_box(build(*size));
        let grown = ALLOCATED.current_usage().saturating_sub(before);
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
        let arrived = inputs::waiting((number * 100 + request) as u128, &wanted, now);
        scheduler.on_input(now, EngineInput::Arrived(arrived));
        scheduler.on_input(now, EngineInput::LoadEnded { adapter: wanted, loaded: true });
    }
    scheduler
}
