//! The `lab` program: stand-ins, load driver and experiments for tamaracklead; never shipped.

mod clap_app;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lab::demo;
use lab::experiment;
use lab::fleet;
use lab::load_driver;
use lab::slopes;
use lab::soak;
use lab::standin;

fn main() -> ExitCode {
    let matches = clap_app::build_app().get_matches();
    let ended = match matches.subcommand() {
        Some(("stand-in", args)) => standin::run(args),
        Some(("experiment", args)) => experiment::run(args),
        Some(("load", args)) => bin_dir().and_then(|dir| load_driver::run_load(&dir, args)),
        Some(("hops", args)) => bin_dir().and_then(|dir| load_driver::run_hops(&dir, args)),
        Some(("slopes", args)) => slopes::run(args),
        Some(("soak", args)) => bin_dir().and_then(|dir| soak::run(&dir, args)),
        Some(("demo", _)) => bin_dir().and_then(|dir| demo::run(&dir)),
        Some(("up", args)) => {
            let seconds = args.get_one::<u64>("seconds").copied().unwrap_or_default();
            bin_dir().and_then(|dir| fleet::up(&dir, Duration::from_secs(seconds)))
        }
        _ => Err("unknown command".to_owned()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("lab: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Directory of this program; the daemon `tamarackleadd` is expected beside it.
fn bin_dir() -> Result<PathBuf, String> {
    let exe = std::env::current_exe().map_err(|e| e.to_string())?;
    exe.parent()
        .map(PathBuf::from)
        .ok_or_else(|| "the path of this program has no parent directory".to_owned())
}
