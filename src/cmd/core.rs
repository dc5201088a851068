//! `skylarkwinch core`: runs a core process until SIGTERM or SIGINT.

use crate::config;
use crate::util::{self, Error, Result, Service};
use argh::FromArgs;
use async_std::task;
use control::process::{Options, Process};
use futures::FutureExt;
use log::{error, info};
use mesh::net::MAX_HANDSHAKES;
use mesh::{Clock, ProcessInfo, Settings};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use store::{DiskFolder, Folder};

/// Default maximum size of the body of a worker's report or a configuration.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Default maximum number of open connections of workers and operators; some thousand workers take
/// turns to report.
const MAX_CONNECTIONS: usize = 1500;
/// Share of the grace period before the kill in which requests in flight may end.
const DRAIN_SHARE: f64 = 0.75;
/// Time for the next leader to take over before the listeners close.
const LEADERSHIP_TRANSFER_TIME: Duration = Duration::from_millis(300);

/// Run a core process until SIGTERM or SIGINT: it keeps the log of jobs, and the
/// one that leads places their work.
#[derive(FromArgs)]
#[argh(subcommand, name = "core")]
pub struct Args {
    /// settings file; SKYLARKWINCH_BOOT if left out
    #[argh(positional)]
    settings: Option<PathBuf>,
}

/// Runs the command.
pub fn run(args: Args) -> Result<()> {
    let path = util::settings_path(args.settings)?;
    let mut signals = util::Signals::register(&path)?;
    let settings = util::load_settings(&path)?;
    config::start_service_log()?;
    let metrics = config::start_metrics()?;
    let limits = util::limits(&path, &settings, MAX_CONNECTIONS, MAX_BODY_BYTES)?;
    task::block_on(async {
        let control = required(&path, &settings, "listen.control", settings.listen.control)?;
        let folder = settings.data_folder.clone().ok_or_else(|| {
            let reason = "is missing, but this role needs it";
            Error::Input(vec![format!("{}: data_folder: {reason}", path.display())])
        })?;
        let peers = util::listen("listen.internal", settings.peer_address()).await?;
        let options = process_options(&settings, folder);
        let process = futures::select! {
            // The disk may hang or fail for some seconds.
            process = task::spawn_blocking(move || Process::start(options, peers)).fuse() => {
                process.map_err(|error| Error::Input(vec![format!("{}: {error}", path.display())]))?
            }
            () = signals.stop().fuse() => {
                info!("process.stopped name={} during=start", settings.name);
                util::drain_log().await;
                return Ok(());
            }
        };
        // Until here nobody could answer, so callers are better refused at once.
        let control = util::listen("listen.control", control).await?;
        let mut service = Service::default();
        let app = Arc::new(platform::control::App(process.handle()));
        let budget = limits.budget.clone();
        service.serve(control, app, limits);
        service.maintain_metrics(metrics.clone());
        service.publish_memory(&settings, &budget);
        let status = Arc::new(util::Status::core(process.handle(), metrics));
        service.serve_status(&settings, status, budget).await;
        info!("process.started role=core name={}", settings.name);
        let drain_time = settings.bounds.grace().mul_f64(DRAIN_SHARE);
        let has_failed = futures::select! {
            () = signals.wait_for_stop(|settings| process.add_seeds(settings.seed_addresses())).fuse() => false,
            () = process.wait_for_core_end().fuse() => true,
        };
        if has_failed {
            error!("process.failed name={} reason=\"the core's thread panicked\"", settings.name);
            // Other processes take this one for the leader as long as they are linked.
            process.stop().await;
            service.stop(drain_time).await;
            util::drain_log().await;
            return Err(Error::Failed("the core's thread panicked".to_string()));
        }
        info!("process.stopping name={}", settings.name);
        process.transfer_leadership();
        task::sleep(LEADERSHIP_TRANSFER_TIME).await;
        service.stop(drain_time).await;
        process.stop().await;
        info!("process.stopped name={}", settings.name);
        util::drain_log().await;
        Ok(())
    })
}

/// Returns the value of a setting that a core process needs, or an error that names it.
fn required(
    path: &std::path::Path,
    settings: &Settings,
    field: &'static str,
    value: Option<std::net::SocketAddr>,
) -> Result<std::net::SocketAddr> {
    let with_path = |error| Error::Input(vec![format!("{}: {error}", path.display())]);
    settings.required(field, value).map_err(with_path)
}

fn process_options(settings: &Settings, folder: PathBuf) -> Options {
    let clock: Arc<dyn Clock> = Arc::new(mesh::clock::System);
    let cloud = settings.cloud.as_ref();
    let open = move || DiskFolder::open(&folder).map(|disk| Box::new(disk) as Box<dyn Folder>);
    Options {
        process_info: ProcessInfo {
            name: settings.name.clone(),
            incarnation: 0,
            durable: true,
            peer_address: settings.peer_address(),
            control_address: settings.listen.control,
            data_centre: Some(settings.data_centre.clone()),
            relays_orders: true,
        },
        seeds: settings.seed_addresses(),
        founders: settings.seeds.0.clone(),
        max_handshakes: settings.limits.max_handshakes.unwrap_or(MAX_HANDSHAKES),
        bootstrap: settings.founding,
        retention: settings.bounds.retention(),
        sched_settings: settings.bounds.sched(),
        open_folder: Box::new(open),
        calls: Arc::new(platform::client::Client::new(
            settings.name.clone(),
            cloud.map(|cloud| cloud.address),
            settings.advice,
            clock.clone(),
        )),
        clock,
    }
}
