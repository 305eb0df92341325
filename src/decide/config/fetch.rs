//! Fetch of one configuration: reads its root and pages, with backoff, until it is complete.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;

use super::Backoff;
use super::Snapshot;
use crate::error::Result;
use crate::names::PageName;
use crate::names::Timestamp;
use crate::wire::gossip::ConfigId;
use crate::wire::published::PageRef;
use crate::wire::published::Root;

/// Concurrent page reads of one fetch.
const MAX_PAGES_IN_FLIGHT: usize = 4;
/// Time without a reply after which a read counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// A read for the caller to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchRead {
    /// The root.
    Root,
    /// One page.
    Page(PageRef),
}

/// The root and pages of one configuration, as far as they were read.
#[derive(Clone, Debug)]
pub struct Fetch {
    id: ConfigId,
    root: Option<(Bytes, Root)>,
    pages: BTreeMap<PageName, Bytes>,
    root_requested_at: Option<Timestamp>,
    pages_requested_at: BTreeMap<PageName, Timestamp>,
    retry_at: Timestamp,
    backoff: Backoff,
}

impl Fetch {
    /// Creates a fetch that starts no read before `now`.
    pub fn new(now: Timestamp, id: ConfigId) -> Self {
        Self {
            id,
            root: None,
            pages: BTreeMap::new(),
            root_requested_at: None,
            pages_requested_at: BTreeMap::new(),
            retry_at: now,
            backoff: Backoff::default(),
        }
    }

    /// Generation and root hash of the configuration.
    pub fn id(&self) -> ConfigId {
        self.id
    }

    /// Sets the root; pages that `current` holds with the same hash are reused.
    pub fn set_root(&mut self, bytes: Bytes, root: Root, current: Option<&Snapshot>) {
        for page in &root.pages {
            if let Some(reused) = current.and_then(|snapshot| snapshot.page(page)) {
                self.pages.insert(page.name.clone(), reused.clone());
            }
        }
        self.root_requested_at = None;
        self.root = Some((bytes, root));
    }

    /// Returns the reads to start now and counts reads that timed out as failed.
    pub fn next_reads<R: Rng>(&mut self, now: Timestamp, rng: &mut R) -> Vec<FetchRead> {
        self.expire(now, rng);
        if now < self.retry_at {
            return Vec::new();
        }
        let Some((_, root)) = &self.root else {
            if self.root_requested_at.is_some() {
                return Vec::new();
            }
            self.root_requested_at = Some(now);
            return vec![FetchRead::Root];
        };
        let mut reads = Vec::new();
        for page in &root.pages {
            if self.pages_requested_at.len() >= MAX_PAGES_IN_FLIGHT {
                break;
            }
            if self.pages.contains_key(&page.name)
                || self.pages_requested_at.contains_key(&page.name)
            {
                continue;
            }
            self.pages_requested_at.insert(page.name.clone(), now);
            reads.push(FetchRead::Page(page.clone()));
        }
        reads
    }

    /// Stores a page if the root lists it; the caller has checked the hash.
    pub fn on_page(&mut self, page: &PageRef, bytes: Bytes) {
        let wanted = self.root.as_ref().is_some_and(|(_, root)| root.pages.contains(page));
        if wanted {
            self.pages_requested_at.remove(&page.name);
            self.pages.insert(page.name.clone(), bytes);
            self.backoff.on_success();
        }
    }

    /// Handles a failed page read.
    pub fn on_page_failed<R: Rng>(&mut self, now: Timestamp, page: &PageRef, rng: &mut R) {
        if self.pages_requested_at.remove(&page.name).is_some() {
            self.back_off(now, rng);
        }
    }

    /// Handles a failed root read.
    pub fn on_root_failed<R: Rng>(&mut self, now: Timestamp, rng: &mut R) {
        if self.root_requested_at.take().is_some() {
            self.back_off(now, rng);
        }
    }

    /// Assembles the snapshot; `None` until the root and every page have arrived.
    pub fn assemble(&self) -> Option<Result<Snapshot>> {
        let (bytes, root) = self.root.as_ref()?;
        let is_complete = root.pages.iter().all(|page| self.pages.contains_key(&page.name));
        is_complete.then(|| Snapshot::assemble(bytes.clone(), self.pages.clone()))
    }

    fn expire<R: Rng>(&mut self, now: Timestamp, rng: &mut R) {
        let is_late = |requested_at: Timestamp| now.since(requested_at) >= READ_TIMEOUT;
        let before = self.pages_requested_at.len();
        self.pages_requested_at.retain(|_, requested_at| !is_late(*requested_at));
        let root_late = self.root_requested_at.is_some_and(is_late);
        if root_late {
            self.root_requested_at = None;
        }
        if root_late || self.pages_requested_at.len() < before {
            self.back_off(now, rng);
        }
    }

    fn back_off<R: Rng>(&mut self, now: Timestamp, rng: &mut R) {
        self.retry_at = now + self.backoff.on_failure(rng);
    }
}
