//! Small stand-ins for the systems outside, one process each.
//!
//! Paths under `/lab/` belong to the tests: they set what a stand-in answers
//! and read what it saw.

mod config_service;
mod desk;
mod engine;
mod instance_list;
mod server;
mod weight_store;

use std::net::SocketAddr;

use clap::ArgMatches;

/// Runs the stand-in that the command line names until the process is ended.
///
/// # Errors
///
/// A sentence that says why it can't start.
pub fn run(args: &ArgMatches) -> Result<(), String> {
    let Some((name, args)) = args.subcommand() else {
        return Err("no stand-in named".to_owned());
    };
    let addr = *args.get_one::<SocketAddr>("listen").ok_or("no address to listen on")?;
    match name {
        "config" => server::run(addr, config_service::ConfigService::default()),
        "instances" => server::run(addr, instance_list::InstanceList::default()),
        "store" => server::run(addr, weight_store::WeightStore::new(number(args, "rate"))),
        "desk" => server::run(addr, desk::Desk::new(number(args, "delay-ms"))),
        "engine" => server::run(addr, engine::Engine::from_args(args)?),
        _ => Err(format!("no stand-in {name:?}")),
    }
}

fn number(args: &ArgMatches, name: &str) -> u64 {
    args.get_one::<u64>(name).copied().unwrap_or_default()
}
