//! Command line of skylarkwinch, the fleet capacity and maintenance manager: parses the
//! arguments, runs one command and exits with its code.

mod cmd;
mod config;
mod util;

use argh::FromArgs;
use std::process::ExitCode;

/// Fleet capacity and maintenance manager.
///
/// Operators submit versioned records (pools, instances, budgets, plans) and read
/// back what was decided and why. Commands that talk to an entry need its
/// operators' address (--entry or SKYLARKWINCH_ENTRY) and a token (--token or
/// SKYLARKWINCH_TOKEN).
///
/// Exit codes: 0 done; 1 wrong usage; 2 bad input or settings; 3 refused or in
/// conflict; 4 not taken, nothing was changed; 5 outcome unknown, resend with the
/// same --id; 6 does not exist; 7 the process failed, start it again.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(cmd::check::Args),
    Core(cmd::core::Args),
    Demo(cmd::demo::Args),
    Dump(cmd::dump::Args),
    Edge(cmd::edge::Args),
    Entry(cmd::entry::Args),
    Explain(cmd::explain::Args),
    Record(cmd::record::Args),
    Recover(cmd::recover::Args),
    Standin(cmd::standin::Args),
    Status(cmd::status::Args),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Check(args) => cmd::check::run(args),
        Command::Core(args) => cmd::core::run(args),
        Command::Demo(args) => cmd::demo::run(args),
        Command::Dump(args) => cmd::dump::run(args),
        Command::Edge(args) => cmd::edge::run(args),
        Command::Entry(args) => cmd::entry::run(args),
        Command::Explain(args) => cmd::explain::run(args),
        Command::Record(args) => cmd::record::run(args),
        Command::Recover(args) => cmd::recover::run(args),
        Command::Standin(args) => cmd::standin::run(args),
        Command::Status(args) => cmd::status::run(args),
    };
    util::to_exit_code(result)
}
