//! The daemon, which runs one process of the system.

use std::process;

fn main() -> process::ExitCode {
    knapweedford::daemon::run()
}
