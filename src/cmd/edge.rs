//! `skylarkwinch edge`: runs an edge process until SIGTERM or SIGINT.

use crate::config;
use crate::util::{self, Error, Result, Service};
use argh::FromArgs;
use async_std::future::timeout;
use async_std::task;
use edge::Gateway;
use futures::FutureExt;
use log::info;
use mesh::{Clock, ProcessInfo};
use serve::Limits;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Default maximum size of the body of a job submission.
const MAX_BODY_BYTES: usize = 512 << 10;
/// Default maximum number of open client connections; each takes a file descriptor and 40 KB, and
/// this many stay within an instance's limits.
const MAX_CONNECTIONS: usize = 2500;
/// Maximum number of open connections for health checks, which come from few load balancers.
const MAX_HEALTH_CONNECTIONS: usize = 64;
/// Time after a stop signal for which new connections are still accepted: the load balancer
/// checks health once a second and stops sending after two failed checks.
const STOP_NOTICE: Duration = Duration::from_millis(2600);
/// Part of the grace period before the kill that is left for the end of the process, after the
/// requests in flight and the links.
const EXIT_RESERVE: Duration = Duration::from_millis(400);
/// End of the time for requests in flight, in which those that still wait are answered without a
/// reply of the leader.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Run an edge process until SIGTERM or SIGINT: it passes clients' requests on to
/// the core process that leads.
#[derive(FromArgs)]
#[argh(subcommand, name = "edge")]
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
        let with_path = |error| Error::Input(vec![format!("{}: {error}", path.display())]);
        let callers =
            settings.required("listen.callers", settings.listen.callers).map_err(with_path)?;
        let health =
            settings.required("listen.health", settings.listen.health).map_err(with_path)?;
        let callers = util::listen("listen.callers", callers).await?;
        let health = util::listen("listen.health", health).await?;
        let clock: Arc<dyn Clock> = Arc::new(mesh::clock::System);
        let process_info = ProcessInfo {
            name: settings.name.clone(),
            incarnation: rand::random(),
            durable: false,
            peer_address: settings.peer_address(),
            control_address: None,
            data_centre: Some(settings.data_centre.clone()),
            relays_orders: false,
        };
        let gateway = Gateway::start(process_info, clock, settings.seed_addresses());
        let stopping = Arc::new(AtomicBool::new(false));
        let requests_in_flight = Arc::new(AtomicUsize::new(0));
        let mut service = Service::default();
        let app =
            platform::edge::App::new(gateway.clone(), stopping.clone(), requests_in_flight.clone());
        service.serve(callers, Arc::new(app), limits.clone());
        let app = platform::edge::Health::new(gateway.clone(), stopping.clone());
        let budget = limits.budget.clone();
        let limits =
            Limits { max_connections: MAX_HEALTH_CONNECTIONS, max_body_bytes: 0, ..limits };
        service.serve(health, Arc::new(app), limits);
        service.maintain_metrics(metrics.clone());
        service.publish_memory(&settings, &budget);
        let status = Arc::new(util::Status::edge(gateway.clone(), metrics));
        service.serve_status(&settings, status, budget).await;
        info!("process.started role=edge name={}", settings.name);
        signals.wait_for_stop(|settings| gateway.add_seeds(settings.seed_addresses())).await;
        info!(
            "process.stopping name={} in_flight={}",
            settings.name,
            requests_in_flight.load(Ordering::Acquire)
        );
        stopping.store(true, Ordering::Release);
        let deadline = Instant::now() + settings.bounds.grace().saturating_sub(EXIT_RESERVE);
        let remaining = || deadline.saturating_duration_since(Instant::now());
        task::sleep(STOP_NOTICE.min(remaining())).await;
        let gave_up = async {
            task::sleep(remaining().saturating_sub(ANSWER_TIME)).await;
            gateway.give_up();
        };
        let stopped = service.stop(remaining()).fuse();
        futures::pin_mut!(stopped);
        futures::select! {
            () = stopped => {}
            () = gave_up.fuse() => stopped.await,
        }
        let _ = timeout(remaining(), gateway.stop()).await; // a frozen peer delays it
        info!("process.stopped name={}", settings.name);
        util::drain_log().await;
        Ok(())
    })
}
