//! The operators' command line tool.

use std::process;

fn main() -> process::ExitCode {
    knapweedford::tool::main()
}
