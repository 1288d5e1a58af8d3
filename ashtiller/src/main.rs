//! The `ashtiller` command line program.

mod command;
mod demo;
#[path = "../../platform/mod.rs"]
mod platform;

use std::process::ExitCode;

fn main() -> ExitCode {
    command::run(pico_args::Arguments::from_env())
}
