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
use super::PublishedPage;
use super::PublishedTopic;
use super::node::Node;
use super::store_call;
use super::store_call::StoreFailure;
use super::store_call::StoreResponse;
use crate::decide::traffic::EraCheck;
use crate::decide::traffic::ListingFailure;
use crate::decide::traffic::ListingWay;
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

/// Items of a topic.
#[derive(Default)]
pub struct Listing {
    /// The items, by key.
    pub items: Vec<PublishedItem>,
    /// Items that can't be read, or not in full.
    pub odd: Vec<OddItem>,
    /// Revision of the published state that the first page reflects; `None` before there is one.
    pub as_of: Option<u64>,
    /// Era of that revision; `None` if the store names none.
    pub era: Option<u64>,
    /// When the call for the first page was sent, by the clock that counts suspended time; `None`
    /// if it can't be read.
    pub asked_at: Option<Timestamp>,
    /// Time in which the bodies of the pages arrived.
    pub body_time: Duration,
    size: usize,
}

/// Why a listing isn't complete.
pub struct ListingFault {
    /// Kind of the failure.
    pub kind: ListingFailure,
    /// What was observed.
    pub detail: String,
    /// What was listed before.
    pub read: Listing,
}

/// Lists a topic.
///
/// # Errors
///
/// Why the listing isn't complete.
pub async fn read(
    node: &Node,
    topic: PublishedTopic,
    way: ListingWay,
) -> Result<Listing, ListingFault> {
    let mut listing = Listing::default();
    let pages = read_pages(node, topic, way, &mut listing);
    let late = || {
        let detail = format!("the listing isn't complete in {} s", LISTING_TIMEOUT.as_secs());
        Err((ListingFailure::Endless, detail))
    };
    match timeout(LISTING_TIMEOUT, pages).await.unwrap_or_else(|_| late()) {
        Ok(()) => Ok(listing),
        Err((ListingFailure::Unanswered, detail)) if listing.as_of.is_some() => {
            Err(ListingFault { kind: ListingFailure::CutOff, detail, read: listing })
        }
        Err((kind, detail)) => Err(ListingFault { kind, detail, read: listing }),
    }
}

async fn read_pages(
    node: &Node,
    topic: PublishedTopic,
    way: ListingWay,
    listing: &mut Listing,
) -> Result<(), (ListingFailure, String)> {
    let part_path =
        (way == ListingWay::Part).then(|| node.protocol.list_part_path(topic)).flatten();
    let mut after: Option<Vec<u8>> = None;
    let mut followed = HashSet::new();
    loop {
        let whole_path = || node.protocol.list_path(topic, after.as_deref(), way.may_be_old());
        let path = part_path.clone().unwrap_or_else(whole_path);
        let response = if way.may_be_old() {
            read_page_by_overlapping_calls(node, &path).await
        } else {
            store_call::get(node, path, PAGE_TIMEOUT).await
        };
        let response = response.map_err(|e| (ListingFailure::Unanswered, e.detail))?;
        let page = take_page(node, topic, response, listing)?;
        if !page.has_more || part_path.is_some() {
            return Ok(());
        }
        let Some(last_key) = page.last_key.filter(|key| followed.insert(key.clone())) else {
            let detail = "the keys of the listing don't advance".to_owned();
            return Err((ListingFailure::Unreadable, detail));
        };
        after = Some(last_key);
    }
}

/// Adds the items of a page to the listing; returns the page without them.
fn take_page(
    node: &Node,
    topic: PublishedTopic,
    response: StoreResponse,
    listing: &mut Listing,
) -> Result<PublishedPage, (ListingFailure, String)> {
    let StoreResponse { status, era, body, body_time, asked_at } = response;
    listing.body_time += body_time;
    if status != 200 {
        return Err((failure_of_status(status), format!("listing returned status {status}")));
    }
    if node.view(topic).on_store_era(era) == EraCheck::Older
        || listing.as_of.is_some() && listing.era != era
    {
        let detail = "the store was restored during the listing".to_owned();
        return Err((ListingFailure::Unanswered, detail));
    }
    listing.size += body.len();
    if listing.size > MAX_LISTING_BYTES {
        let detail = format!("the listing exceeds {MAX_LISTING_BYTES} bytes");
        return Err((ListingFailure::Endless, detail));
    }
    let page = node.protocol.decode_list(&body);
    let mut page = page.map_err(|e| (ListingFailure::Unreadable, e.to_string()))?;
    if listing.as_of.is_none() {
        listing.as_of = Some(page.as_of);
        listing.era = era;
        listing.asked_at = asked_at;
    }
    let events = std::mem::take(&mut page.events);
    listing.items.extend(events.into_iter().filter_map(written_item));
    listing.odd.append(&mut page.odd);
    Ok(page)
}

/// A store that is in trouble refuses for the time being.
fn failure_of_status(status: u16) -> ListingFailure {
    match status {
        429 | 500..=599 => ListingFailure::Unanswered,
        _ => ListingFailure::Unreadable,
    }
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
