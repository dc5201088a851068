//! HTTP applications for callers, targets and operators.

pub mod callers;
pub mod operators;
pub mod reply;
pub mod targets;

use futures::future::BoxFuture;
use http_types::{Request, Response};

/// Adapter that serves a `tide` application on a [`serve::Listener`].
pub struct Tide<S>(pub tide::Server<S>);

impl<S: Clone + Send + Sync + 'static> serve::App for Tide<S> {
    fn respond(&self, request: Request) -> BoxFuture<'_, http_types::Result<Response>> {
        Box::pin(self.0.respond(request))
    }
}
