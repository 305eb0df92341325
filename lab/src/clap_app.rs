//! Command-line definition of the `lab` program.

use std::net::SocketAddr;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use lab::experiment;
use lab::load_driver;
use lab::slopes;
use lab::soak;

/// Command-line definition with all subcommands.
pub fn build_app() -> Command {
    Command::new("lab")
        .about("Stand-ins, load driver and experiments for tamaracklead")
        .subcommand_required(true)
        .subcommand(stand_in_command())
        .subcommand(experiment::command())
        .subcommand(load_driver::load_command())
        .subcommand(load_driver::hops_command())
        .subcommand(slopes::command())
        .subcommand(soak::command())
        .subcommand(Command::new("demo").about("Runs a fleet through failures and checks it"))
        .subcommand(
            Command::new("up").about("Starts a fleet and leaves it running").arg(
                Arg::new("seconds")
                    .long("seconds")
                    .help("Stops by itself after this time")
                    .default_value("3600")
                    .value_parser(value_parser!(u64)),
            ),
        )
}

fn stand_in_command() -> Command {
    Command::new("stand-in")
        .about("One process in the place of an outside system")
        .subcommand_required(true)
        .subcommand(stand_in_kind("config", "Configuration service"))
        .subcommand(stand_in_kind("instances", "List of live and leaving instances"))
        .subcommand(stand_in_kind("store", "Weight store").arg(number_arg(
            "rate",
            "Loads a second",
            "3",
        )))
        .subcommand(stand_in_kind("desk", "Desk").arg(number_arg(
            "delay-ms",
            "Time a call takes",
            "20",
        )))
        .subcommand(
            stand_in_kind("engine", "Model engine")
                .arg(
                    Arg::new("store")
                        .long("store")
                        .help("Address of the weight store")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr)),
                )
                .arg(number_arg("slots", "Adapters held at once", "4"))
                .arg(number_arg("batch", "Requests run at once", "8"))
                .arg(number_arg("token-ms", "Time between tokens when alone", "5"))
                .arg(
                    Arg::new("ignore-fencing")
                        .long("ignore-fencing")
                        .help("Carry out orders with old fencing numbers")
                        .num_args(0),
                ),
        )
}

fn stand_in_kind(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("listen")
            .long("listen")
            .help("Address to listen on")
            .required(true)
            .value_parser(value_parser!(SocketAddr)),
    )
}

fn number_arg(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default).value_parser(value_parser!(u64))
}
