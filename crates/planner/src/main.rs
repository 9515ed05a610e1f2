//! The `jackdaw-planner` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    planner::main_with(std::env::args_os())
}
