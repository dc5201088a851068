//! `skylarkwinch standin`: runs a stand-in target until SIGTERM or SIGINT.

use crate::util::{self, Error, Result};
use ::standin::{Settings, Target};
use argh::FromArgs;
use async_std::task;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval at which a leaving target checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the entries to receive the announcement that the target leaves.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(500);

/// Run a stand-in target that answers requests and announces itself, to try the
/// system without a real one. SIGTERM or SIGINT drains it first.
#[derive(FromArgs)]
#[argh(subcommand, name = "standin")]
pub struct Args {
    /// name of its instance record
    #[argh(positional)]
    instance: String,
    /// targets' address of an entry of its data centre; may be repeated
    #[argh(option)]
    announce: Vec<SocketAddr>,
    /// token for announcements
    #[argh(option)]
    token: String,
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// milliseconds that a request takes (default 20)
    #[argh(option, default = "20")]
    work_ms: u64,
    /// requests that it runs at once (default 8); more wait
    #[argh(option, default = "8")]
    slots: usize,
}

/// Runs the command.
pub fn run(args: Args) -> Result<()> {
    let settings = Settings {
        instance: args.instance,
        listen: args.listen,
        entries: args.announce,
        token: args.token,
        work: Duration::from_millis(args.work_ms),
        slots: args.slots,
    };
    task::block_on(async {
        let target = Target::start(settings)
            .await
            .map_err(|error| Error::Io(format!("--listen {}", args.listen), error))?;
        println!("listening on {}", target.address());
        util::stop_signal().await?;
        target.leave();
        task::sleep(LEAVE_NOTICE_TIME).await;
        while target.in_flight() > 0 {
            task::sleep(DRAIN_POLL_INTERVAL).await;
        }
        target.stop().await;
        Ok(())
    })
}
