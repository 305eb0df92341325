//! A fleet of real processes on loopback: entry instances and stand-ins of everything else.

mod client;
mod plan;
mod process;
mod running;

use std::path::Path;
use std::time::Duration;

pub use client::LabClient;
pub use plan::FleetPlan;
pub use process::Process;
pub use running::Fleet;

/// `lab up`: starts a fleet, prints example commands and keeps it running for `duration`.
///
/// # Errors
///
/// What failed to start.
pub fn up(bin_dir: &Path, duration: Duration) -> Result<(), String> {
    let runtime = runtime()?;
    let fleet = runtime.block_on(Fleet::start(bin_dir, FleetPlan::nakhla()))?;
    println!("The fleet runs for {} s; Ctrl-C ends it.", duration.as_secs());
    for entry in &fleet.entries {
        println!(
            "  {}: callers http://{}, operators http://{}",
            entry.name, entry.addr, entry.operator_addr
        );
    }
    let key = fleet.operator_key_file()?;
    println!("Try:");
    println!(
        "  tamaracklead status --operator {} --operator-key {}",
        fleet.entries[0].operator_addr,
        key.display()
    );
    let addr = fleet.entries[0].addr;
    println!(
        "  curl -N http://{addr}/v1/completions -d '{{\"adapter\":\"adapter-0001\",\"prompt\":\"Hello\",\"stream\":true}}'"
    );
    println!("  curl -X POST http://{addr}/v1/tickets");
    println!("  curl http://{addr}/v1/submissions -H \"Ticket: TICKET\" -d '{{\"proposal\":7}}'");
    runtime.block_on(async {
        tokio::select! {
            () = tokio::time::sleep(duration) => {}
            _ = tokio::signal::ctrl_c() => {}
        }
    });
    Ok(())
}

/// Builds the runtime for the lab's own calls.
///
/// # Errors
///
/// Why the runtime can't be built.
pub fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|e| e.to_string())
}
