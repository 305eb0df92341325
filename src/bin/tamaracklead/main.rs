//! Command-line tool for operators and callers.

mod app;
mod clap_app;

use std::io;
use std::process::ExitCode;

use tamaracklead::cli;

fn main() -> ExitCode {
    let cfg = app::config(&clap_app::build_app().get_matches());
    let exit = cli::run(&cfg, &mut io::stdout().lock(), &mut io::stderr().lock());
    ExitCode::from(exit.code())
}
