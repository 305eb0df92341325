//! `lab slopes`: memory, bytes and processor time per adapter, engine, member or request.
//!
//! Each figure is measured at several sizes, so that it shows whether the cost per
//! item stays constant as the fleet grows.

mod cpu_time;
mod inputs;
mod memory;
mod messages;

use clap::ArgMatches;
use clap::Command;

/// Command-line definition of `lab slopes`.
pub fn command() -> Command {
    Command::new("slopes")
        .about("Measures memory and processor time of the decisions at several sizes")
}

/// Measures and prints all tables.
///
/// # Errors
///
/// Never; the signature matches that of the other commands.
pub fn run(_: &ArgMatches) -> Result<(), String> {
    memory::print();
    messages::print();
    cpu_time::print();
    Ok(())
}
