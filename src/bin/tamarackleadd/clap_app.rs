//! Command line of `tamarackleadd`.

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// Describes the command line to clap.
pub fn build_app() -> Command {
    Command::new("tamarackleadd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Entry instance: serves callers and schedules requests on the engines that it owns")
        .arg(
            Arg::new("settings")
                .value_name("FILE")
                .help("Settings file (JSON)")
                .required(true)
                .value_parser(value_parser!(std::path::PathBuf)),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings, report every fault, and exit")
                .action(ArgAction::SetTrue),
        )
}
