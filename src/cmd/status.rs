//! `skylarkwinch status`: prints a summary of an entry's state.

use crate::config::Client;
use crate::util::{self, Result};
use argh::FromArgs;
use async_std::task;
use entry::dump::Status;

/// Show an entry's state: leader, what is in force where, pools and targets.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Args {
    /// operators' address of an entry
    #[argh(option)]
    entry: Option<String>,
    /// operator's token
    #[argh(option)]
    token: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the command.
pub fn run(args: Args) -> Result<()> {
    let client = Client::new(args.entry, args.token)?;
    let status: Status = task::block_on(client.get("/status"))?;
    if args.json {
        return util::print_json(&status);
    }
    print_status(&status);
    Ok(())
}

fn print_status(status: &Status) {
    let ready = if status.ready { "ready" } else { "not ready" };
    let current = if status.current { "current" } else { "may be cut off" };
    let leader = status.leader.as_deref().unwrap_or("none");
    println!("entry {} in data centre {}: {ready}, {current}", status.entry, status.data_centre);
    println!("incarnation {}", status.incarnation);
    println!("leader {leader} of term {}, index {} in force", status.term, status.applied);
    println!("voters {}", status.voters.join(", "));
    for failure in [&status.apply_failure, &status.disk_failure].into_iter().flatten() {
        println!("failure: {failure}");
    }
    println!("entries:");
    for entry in &status.entries {
        let connected = if entry.connected { "connected" } else { "not connected" };
        let member = if entry.member { "member" } else { "not a member" };
        let since = entry.since.map(util::format_time).unwrap_or_default();
        println!("  {} {connected}, {member}, index {} since {since}", entry.entry, entry.applied);
    }
    println!("pools:");
    for pool in &status.pools {
        let spare = if pool.spare { " (spare)" } else { "" };
        println!("  {}{spare}: {} targets", pool.pool, pool.targets.len());
        for target in &pool.targets {
            let load = format!("{} of {} slots", target.in_flight, target.limit);
            let state = if target.quarantined { ", in quarantine" } else { "" };
            println!("    {} at {}, {load}{state}", target.instance, target.address);
        }
    }
}
