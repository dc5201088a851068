//! `skylarkwinch dump`: prints the whole state of an entry process.

use crate::config::Client;
use crate::util::{self, Result};
use argh::FromArgs;
use async_std::task;

/// Print the whole state of an entry process as JSON, without keys and tokens.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct Args {
    /// operators' address of an entry
    #[argh(option)]
    entry: Option<String>,
    /// operator's token
    #[argh(option)]
    token: Option<String>,
}

/// Runs the command.
pub fn run(args: Args) -> Result<()> {
    let client = Client::new(args.entry, args.token)?;
    let dump: serde_json::Value = task::block_on(client.get("/dump"))?;
    util::print_json(&dump)
}
