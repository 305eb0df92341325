//! Stand-ins for the external systems: minimal fake servers, one process each.
//!
//! Their `/v1/` paths are the API that the entry instances use. Paths under
//! `/lab/` are for tests: they set what a stand-in answers and read its counters.

mod config_service;
mod desk;
mod engine;
mod instance_list;
mod server;
mod weight_store;

use std::net::SocketAddr;

use clap::ArgMatches;

/// Runs the stand-in that the command line names until the process is killed.
///
/// # Errors
///
/// Why it can't start.
pub fn run(args: &ArgMatches) -> Result<(), String> {
    let Some((name, args)) = args.subcommand() else {
        return Err("the command names no stand-in".to_owned());
    };
    let addr =
        *args.get_one::<SocketAddr>("listen").ok_or("the command names no address to listen on")?;
    match name {
        "config" => server::run(addr, config_service::ConfigService::default()),
        "instances" => server::run(addr, instance_list::InstanceList::default()),
        "store" => server::run(addr, weight_store::WeightStore::new(number_arg(args, "rate"))),
        "desk" => server::run(addr, desk::Desk::new(number_arg(args, "delay-ms"))),
        "engine" => server::run(addr, engine::Engine::from_args(args)?),
        _ => Err(format!("unknown stand-in {name:?}")),
    }
}

fn number_arg(args: &ArgMatches, name: &str) -> u64 {
    args.get_one::<u64>(name).copied().unwrap_or_default()
}
