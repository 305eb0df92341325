//! The configuration for requests that arrive right after the start.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::response::LocalResponse;
use crate::decide::traffic::FirstListing;
use crate::decide::traffic::TrafficConfig;
use crate::decide::traffic::WaitBudget;
use crate::names::Timestamp;

/// Gets the configuration in effect for the request `id`; waits for the first one if that is due. `now`
/// counts from the start of the process.
///
/// # Errors
///
/// The relay's own response, if there is none in time.
pub async fn get(
    config: &watch::Sender<Option<Arc<TrafficConfig>>>,
    now: impl Fn() -> Timestamp,
    id: &str,
) -> Result<Arc<TrafficConfig>, LocalResponse> {
    let mut config = config.subscribe();
    let known = config.borrow_and_update().clone();
    if let Some(known) = known {
        return Ok(known);
    }
    if let FirstListing::Await(time) = FirstListing::missing(now(), Timestamp::ZERO) {
        let _ = timeout(time, config.wait_for(Option::is_some)).await;
    }
    let known = config.borrow().clone();
    known.ok_or_else(|| not_ready(now(), id))
}

/// Refusal of the request `id` as there is no configuration; `now` counts from the start of the
/// process.
pub fn not_ready(now: Timestamp, id: &str) -> LocalResponse {
    let wait = FirstListing::retry_after(now, Timestamp::ZERO);
    LocalResponse::NotReady(WaitBudget::retry_after(wait, xxh3_64(id.as_bytes())))
}
