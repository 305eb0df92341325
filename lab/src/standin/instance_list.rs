//! Stand-in for the platform's list of live and leaving instances.

use std::sync::Arc;
use std::sync::Mutex;

use tamaracklead::edge::Reply;
use tamaracklead::edge::Request;
use tamaracklead::wire::listing::Listing;

use super::server::StandIn;
use super::server::malformed;
use super::server::no_such_path;

/// The list. Tests set it by `PUT /lab/instances`.
#[derive(Default)]
pub struct InstanceList {
    listing: Mutex<Listing>,
}

impl StandIn for InstanceList {
    async fn handle(self: Arc<Self>, req: Request) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/v1/instances") => Reply::json(200, &*self.listing.lock().unwrap()),
            ("PUT", "/lab/instances") => match serde_json::from_slice(&req.body) {
                Ok(listing) => {
                    *self.listing.lock().unwrap() = listing;
                    Reply::json(200, &())
                }
                Err(e) => malformed(&e),
            },
            _ => no_such_path(&req),
        }
    }
}
