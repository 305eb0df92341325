//! Reads all pages of a listing of the published state.
//!
//! A store in trouble may send pages without end, so a listing is bounded in size and time, and each
//! page must end with another key. At a start nobody is served before the listing is there, so a page
//! that isn't answered is asked for by further calls.

use std::collections::HashSet;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep;
use tokio::time::timeout;

use super::OddItem;
use super::PublishedTopic;
use super::node::Node;
use super::store_call;
use super::store_call::StoreFailure;
use super::store_call::StoreResponse;
use crate::decide::traffic::EraCheck;
use crate::decide::traffic::OverlappingCalls;
use crate::decide::traffic::PublishedEvent;
use crate::decide::traffic::PublishedItem;
use crate::names::Timestamp;

/// Time within which the answer to a call for a page must begin.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Timeout for all pages.
const LISTING_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest size of all pages together, in bytes.
const MAX_LISTING_BYTES: usize = 16 * 1024 * 1024;

/// All items of a topic.
pub struct Listing {
    /// The items, by key.
    pub items: Vec<PublishedItem>,
    /// Items that can't be read, or not in full.
    pub odd: Vec<OddItem>,
    /// Revision of the published state that the first page reflects.
    pub as_of: u64,
    /// Era of that revision; 0 if the store names none.
    pub era: u64,
    /// When the call for the first page was sent, by the clock that counts suspended time; `None`
    /// if it can't be read.
    pub asked_at: Option<Timestamp>,
    /// Time in which the bodies of the pages arrived.
    pub body_time: Duration,
}

/// Lists a topic; with `may_be_old` the listing may be some seconds old.
///
/// # Errors
///
/// Why the listing isn't complete.
pub async fn read(node: &Node, topic: PublishedTopic, may_be_old: bool) -> Result<Listing, String> {
    let pages = read_pages(node, topic, may_be_old);
    let late = || Err(format!("the listing isn't complete in {} s", LISTING_TIMEOUT.as_secs()));
    timeout(LISTING_TIMEOUT, pages).await.unwrap_or_else(|_| late())
}

async fn read_pages(
    node: &Node,
    topic: PublishedTopic,
    may_be_old: bool,
) -> Result<Listing, String> {
    let mut items: Vec<PublishedItem> = Vec::new();
    let mut odd = Vec::new();
    let mut after: Option<Vec<u8>> = None;
    let mut followed = HashSet::new();
    let mut as_of = None;
    let mut listed_era = None;
    let mut first_asked_at = None;
    let mut size = 0;
    let mut body_time = Duration::ZERO;
    loop {
        let path = node.protocol.list_path(topic, after.as_deref(), may_be_old);
        let response = if may_be_old {
            read_page_by_overlapping_calls(node, &path).await?
        } else {
            store_call::get(node, path, PAGE_TIMEOUT).await?
        };
        let StoreResponse { status, era, body, body_time: page_time, asked_at } = response;
        body_time += page_time;
        if status != 200 {
            return Err(format!("listing returned status {status}"));
        }
        if node.view(topic).on_store_era(era) == EraCheck::Older
            || *listed_era.get_or_insert(era) != era
        {
            return Err("the store was restored during the listing".to_owned());
        }
        first_asked_at.get_or_insert(asked_at);
        size += body.len();
        if size > MAX_LISTING_BYTES {
            return Err(format!("the listing exceeds {MAX_LISTING_BYTES} bytes"));
        }
        let page = node.protocol.decode_list(&body).map_err(|e| e.to_string())?;
        as_of.get_or_insert(page.as_of);
        items.extend(page.events.into_iter().filter_map(written_item));
        odd.extend(page.odd);
        if !page.has_more {
            break;
        }
        let Some(last_key) = page.last_key.filter(|key| followed.insert(key.clone())) else {
            return Err("the keys of the listing don't advance".to_owned());
        };
        after = Some(last_key);
    }
    let era = listed_era.flatten().unwrap_or_default();
    let asked_at = first_asked_at.flatten();
    Ok(Listing { items, odd, as_of: as_of.unwrap_or_default(), era, asked_at, body_time })
}

/// Calls for a page until the answer to a call begins, or one fails while no other one is pending. A page that may
/// be old costs the store little, so that calls may overlap.
async fn read_page_by_overlapping_calls(
    node: &Node,
    path: &str,
) -> Result<StoreResponse, StoreFailure> {
    let mut calls = FuturesUnordered::new();
    let mut schedule = OverlappingCalls::new(&node.settings.instance);
    loop {
        tokio::select! {
            () = sleep(schedule.due_in(node.now())) => {
                schedule.on_call(node.now());
                calls.push(store_call::begin(node, path.to_owned(), PAGE_TIMEOUT));
            }
            Some(begun) = calls.next() => match begun {
                Ok(begun) => {
                    // Further answers would share the link with this one.
                    drop(calls);
                    return begun.finish(node).await;
                }
                Err(e) if calls.is_empty() => return Err(e),
                Err(_) => {}
            }
        }
    }
}

/// The item that was written; `None` for a removal.
pub fn written_item(event: PublishedEvent) -> Option<PublishedItem> {
    match event {
        PublishedEvent::Written(item) => Some(item),
        PublishedEvent::Removed { .. } => None,
    }
}
