//! HTTP application through which targets announce themselves.

use crate::http::reply::{self, Result};
use crate::shared::Shared;
use route::Announcement;
use route::target::{AnnounceReply, Sighting, State};
use std::sync::Arc;
use std::time::Duration;
use tide::{Request, Server, StatusCode};
use wire::Frame;

/// Largest body of an announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 4096;
/// Time until the next announcement of a target that is moving or leaving. Shorter than
/// the usual interval, because the move waits for the target to report that it is idle.
const MOVING_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the application for targets.
pub fn app(shared: Arc<Shared>) -> Server<Arc<Shared>> {
    let mut app = Server::with_state(shared);
    app.at("/announcements").post(announce);
    app
}

async fn announce(mut request: Request<Arc<Shared>>) -> Result {
    let shared = request.state().clone();
    if !reply::has_token(&request, &shared.settings.target_token) {
        let name = shared.identity.name.clone();
        metrics::counter!("targets_refused_total", "entry" => name).increment(1);
        return reply::error(StatusCode::Unauthorized, "authorization: is not the target token");
    }
    let Some(body) = reply::read_body(&mut request, MAX_ANNOUNCEMENT_BYTES).await? else {
        return reply::error(StatusCode::PayloadTooLarge, "body: is too long");
    };
    let mut deserializer = serde_json::Deserializer::from_slice(&body);
    match serde_path_to_error::deserialize::<_, Announcement>(&mut deserializer) {
        Ok(announcement) => {
            let reply = record_announcement(&shared, announcement);
            reply::json(StatusCode::Ok, &reply)
        }
        Err(error) => reply::error(StatusCode::BadRequest, &error.to_string()),
    }
}

/// Records an announcement and passes a change to the entries of this data centre at
/// once.
fn record_announcement(shared: &Shared, announcement: Announcement) -> AnnounceReply {
    let now = shared.clock.now();
    let instance = announcement.instance.clone();
    let leaving = announcement.state == State::Leaving;
    let sighting = Sighting { announcement: announcement.clone(), age: Duration::ZERO };
    let changed = shared.directory().record_announcement(now, Duration::ZERO, announcement);
    let moving = is_moving(shared, &instance);
    if changed || moving {
        shared.request_rebuild();
        for link in shared.links() {
            if link.identity.data_centre == shared.identity.data_centre {
                link.send(Frame::Sightings(vec![sighting.clone()]));
            }
        }
    }
    let fleet = shared.fleet.read().expect("no holder panics");
    let directory = shared.directory();
    let pool = directory.pool(&fleet, &instance);
    let interval = if moving || leaving { MOVING_INTERVAL } else { directory.announce_interval() };
    AnnounceReply { next_ms: interval.as_millis() as u64, pool }
}

fn is_moving(shared: &Shared, instance: &str) -> bool {
    let fleet = shared.fleet.read().expect("no holder panics");
    fleet.placements().get(instance).is_some_and(|placement| placement.pending_move.is_some())
}
