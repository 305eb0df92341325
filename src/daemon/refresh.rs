//! Tasks that keep the configuration, the instance list and the membership fresh.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::Node;
use crate::decide::config::ConfigState;
use crate::decide::config::Offer;
use crate::decide::config::Snapshot;
use crate::edge::PeerPath;
use crate::edge::PeerTarget;
use crate::edge::Reply;
use crate::edge::Request;
use crate::error::Result;
use crate::names::Generation;
use crate::names::PageName;
use crate::telemetry::Counter;
use crate::wire::frame;
use crate::wire::peer::Hello;

/// How long one watch of the configuration waits at the service.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time between tries while the configuration service fails.
const CONFIG_RETRY: Duration = Duration::from_secs(1);
/// How often the instance list is read.
const LISTING_INTERVAL: Duration = Duration::from_millis(500);
/// How often every peer is told that this instance lives.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which a peer must answer.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// Watches the configuration service for ever.
pub async fn configuration(node: Arc<Node>) {
    loop {
        if let Err(error) = read_configuration(&node).await {
            log::debug!("configuration: {error}");
            tokio::time::sleep(CONFIG_RETRY).await;
        }
    }
}

async fn read_configuration(node: &Node) -> Result<()> {
    let client = &node.clients.config;
    let root = match node.config(ConfigState::generation) {
        None => Some(client.root().await?),
        Some(generation) => client.watch(generation, WATCH_WAIT).await?,
    };
    let Some(root_bytes) = root else { return Ok(()) };
    let pages = read_pages(node, &root_bytes).await?;
    apply(node, root_bytes, pages)
}

async fn read_pages(node: &Node, root_bytes: &Bytes) -> Result<BTreeMap<PageName, Bytes>> {
    let root = Snapshot::parse_root(root_bytes)?;
    let current = node.config(|config| config.current().cloned());
    let mut pages = BTreeMap::new();
    for page in root.pages {
        let known = current.as_ref().and_then(|snapshot| snapshot.pages().get(&page.name));
        let bytes = match known {
            Some(bytes) if Snapshot::hash(bytes) == page.hash => bytes.clone(),
            _ => node.clients.config.page(&page.name).await?,
        };
        pages.insert(page.name, bytes);
    }
    Ok(pages)
}

fn apply(node: &Node, root_bytes: Bytes, pages: BTreeMap<PageName, Bytes>) -> Result<()> {
    let snapshot = Snapshot::assemble(root_bytes, pages)
        .inspect_err(|_| node.metrics.count(Counter::ConfigRefused))?;
    let generation: Generation = snapshot.generation();
    let offered = node.config_mut(|config| config.offer(snapshot));
    let offered = offered.inspect_err(|_| node.metrics.count(Counter::ConfigRefused))?;
    if offered == Offer::Applied {
        node.metrics.count(Counter::ConfigApplied);
        log::info!("generation {generation} is in effect");
    }
    Ok(())
}

/// Reads the instance list for ever.
pub async fn listing(node: Arc<Node>) {
    let mut interval = tokio::time::interval(LISTING_INTERVAL);
    loop {
        interval.tick().await;
        let Ok(mut listing) = node.clients.listing.read().await else { continue };
        listing.entries.retain(|entry| entry.name != node.settings.instance);
        node.membership_mut(|membership| membership.on_listing(&listing.entries));
        node.backends_mut(|backends| backends.on_listing(listing.backends));
        node.note_listed();
    }
}

/// Tells every peer that this instance lives, for ever.
pub async fn heartbeats(node: Arc<Node>) {
    let mut interval = tokio::time::interval(HELLO_INTERVAL);
    loop {
        interval.tick().await;
        announce(&node);
    }
}

/// Tells every peer at once what this instance says of itself.
pub fn announce(node: &Arc<Node>) {
    let peers =
        node.membership(|membership| membership.all().map(PeerTarget::from).collect::<Vec<_>>());
    for peer in peers {
        let node = Arc::clone(node);
        tokio::spawn(async move {
            let hello = node.hello();
            let client = &node.clients.peer;
            let answer = client.call(&peer, PeerPath::Hello, &hello, HELLO_TIMEOUT).await;
            if let Ok(Ok(hello)) = answer {
                take_hello(&node, &hello);
            }
        });
    }
}

/// Answers `POST /peer/v1/hello`.
///
/// # Errors
///
/// `Malformed` if the body isn't a hello.
pub fn serve_hello(node: &Node, req: &Request) -> Result<Reply> {
    let hello: Hello = frame::decode(&req.body)?;
    take_hello(node, &hello);
    Ok(Reply::message(&node.hello()))
}

fn take_hello(node: &Node, hello: &Hello) {
    let now = node.now();
    node.membership_mut(|membership| {
        membership.on_heard(now, &hello.name, hello.incarnation, hello.draining);
    });
}
