//! One configuration on its way to this instance.

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

/// Pages that are read at the same time.
const MAX_PAGES_IN_FLIGHT: usize = 4;
/// Time after which a read without an answer counts as failed.
const READ_LIMIT: Duration = Duration::from_secs(4);

/// A read that the fetch wants next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchRead {
    /// The root.
    Root,
    /// One page.
    Page(PageRef),
}

/// The root and pages of one content, as far as they have arrived.
#[derive(Clone, Debug)]
pub struct Fetch {
    id: ConfigId,
    root: Option<(Bytes, Root)>,
    pages: BTreeMap<PageName, Bytes>,
    root_asked: Option<Timestamp>,
    pages_asked: BTreeMap<PageName, Timestamp>,
    not_before: Timestamp,
    backoff: Backoff,
}

impl Fetch {
    /// A fetch of `id` of which nothing has arrived.
    pub fn new(now: Timestamp, id: ConfigId) -> Self {
        Self {
            id,
            root: None,
            pages: BTreeMap::new(),
            root_asked: None,
            pages_asked: BTreeMap::new(),
            not_before: now,
            backoff: Backoff::default(),
        }
    }

    /// Content that is fetched.
    pub fn id(&self) -> ConfigId {
        self.id
    }

    /// Takes the root; pages that `current` holds with the same hash aren't read again.
    pub fn set_root(&mut self, bytes: Bytes, root: Root, current: Option<&Snapshot>) {
        for page in &root.pages {
            if let Some(held) = current.and_then(|snapshot| snapshot.page(page)) {
                self.pages.insert(page.name.clone(), held.clone());
            }
        }
        self.root_asked = None;
        self.root = Some((bytes, root));
    }

    /// The reads to start now.
    pub fn next_reads<R: Rng>(&mut self, now: Timestamp, rng: &mut R) -> Vec<FetchRead> {
        self.expire(now, rng);
        if now < self.not_before {
            return Vec::new();
        }
        let Some((_, root)) = &self.root else {
            if self.root_asked.is_some() {
                return Vec::new();
            }
            self.root_asked = Some(now);
            return vec![FetchRead::Root];
        };
        let mut reads = Vec::new();
        for page in &root.pages {
            if self.pages_asked.len() >= MAX_PAGES_IN_FLIGHT {
                break;
            }
            if self.pages.contains_key(&page.name) || self.pages_asked.contains_key(&page.name) {
                continue;
            }
            self.pages_asked.insert(page.name.clone(), now);
            reads.push(FetchRead::Page(page.clone()));
        }
        reads
    }

    /// Takes a page whose bytes match the hash in `page`.
    pub fn on_page(&mut self, page: &PageRef, bytes: Bytes) {
        let wanted = self.root.as_ref().is_some_and(|(_, root)| root.pages.contains(page));
        if wanted {
            self.pages_asked.remove(&page.name);
            self.pages.insert(page.name.clone(), bytes);
            self.backoff.on_success();
        }
    }

    /// Takes the failure of a page's read.
    pub fn on_page_failed<R: Rng>(&mut self, now: Timestamp, page: &PageRef, rng: &mut R) {
        if self.pages_asked.remove(&page.name).is_some() {
            self.pause(now, rng);
        }
    }

    /// Takes the failure of the root's read.
    pub fn on_root_failed<R: Rng>(&mut self, now: Timestamp, rng: &mut R) {
        if self.root_asked.take().is_some() {
            self.pause(now, rng);
        }
    }

    /// The whole content once every page has arrived.
    pub fn assemble(&self) -> Option<Result<Snapshot>> {
        let (bytes, root) = self.root.as_ref()?;
        let whole = root.pages.iter().all(|page| self.pages.contains_key(&page.name));
        whole.then(|| Snapshot::assemble(bytes.clone(), self.pages.clone()))
    }

    fn expire<R: Rng>(&mut self, now: Timestamp, rng: &mut R) {
        let is_late = |asked: Timestamp| now.since(asked) >= READ_LIMIT;
        let before = self.pages_asked.len();
        self.pages_asked.retain(|_, asked| !is_late(*asked));
        let root_late = self.root_asked.is_some_and(is_late);
        if root_late {
            self.root_asked = None;
        }
        if root_late || self.pages_asked.len() < before {
            self.pause(now, rng);
        }
    }

    fn pause<R: Rng>(&mut self, now: Timestamp, rng: &mut R) {
        self.not_before = now + self.backoff.on_failure(rng);
    }
}
