//! Slopes: what one more adapter, engine, member or request costs.

mod inputs;
mod memory;
mod messages;
mod processor;

use clap::ArgMatches;
use clap::Command;

/// Describes the command.
pub fn command() -> Command {
    Command::new("slopes")
        .about("Measures memory and processor time of the decisions at several sizes")
}

/// Runs the command.
///
/// # Errors
///
/// None; the signature is that of the other commands.
pub fn run(_: &ArgMatches) -> Result<(), String> {
    memory::print();
    messages::print();
    processor::print();
    Ok(())
}
