//! Simulated platform: configuration service and instance list, with the faults of both.

use std::collections::BTreeMap;

use bytes::Bytes;
use tamaracklead::decide::config::ServiceReply;
use tamaracklead::decide::config::Snapshot;
use tamaracklead::names::Generation;
use tamaracklead::names::PageName;
use tamaracklead::wire::listing::Listing;
use tamaracklead::wire::published::PageRef;

/// One published generation.
#[derive(Clone, Debug)]
pub struct Publication {
    pub generation: Generation,
    pub root: Bytes,
    pub pages: BTreeMap<PageName, Bytes>,
}

/// A generation of two pages; another `variant` gives the same generation other content.
pub fn publication(generation: u64, variant: u64) -> Publication {
    let mut pages = BTreeMap::new();
    let mut refs = Vec::new();
    for (name, version) in [("a", generation), ("b", variant)] {
        let page = format!(
            r#"{{"adapters":{{"{name}-adapter":{{"model":"m","versions":[{}]}}}}}}"#,
            version + 1
        );
        let hash = Snapshot::hash(page.as_bytes());
        refs.push(format!(r#"{{"name":"{name}","hash":"{hash}"}}"#));
        pages.insert(PageName::new(name), Bytes::from(page));
    }
    let root = format!(
        r#"{{"generation":{generation},"preset":"day","presets":{{"day":{{}}}},"pages":[{}]}}"#,
        refs.join(",")
    );
    Publication { generation: Generation(generation), root: Bytes::from(root), pages }
}

/// The configuration service; `page_damaged` cuts each page short by a byte.
#[derive(Clone, Debug, Default)]
pub struct Service {
    pub history: Vec<Publication>,
    /// Index in `history` of the generation that is served; an older one makes the service stale.
    pub shown: usize,
    pub down: bool,
    pub page_missing: bool,
    pub page_damaged: bool,
    pub root_calls: u64,
    pub page_calls: u64,
}

impl Service {
    pub fn publish(&mut self, publication: Publication) {
        self.history.push(publication);
        self.shown = self.history.len() - 1;
    }

    pub fn read(&mut self, after: Option<Generation>) -> ServiceReply {
        self.root_calls += 1;
        let shown = self.history.get(self.shown);
        match shown {
            _ if self.down => ServiceReply::Failed,
            None => ServiceReply::Failed,
            Some(shown) if after.is_some_and(|after| shown.generation <= after) => {
                ServiceReply::Unchanged
            }
            Some(shown) => ServiceReply::Root(shown.root.clone()),
        }
    }

    pub fn page(&mut self, page: &PageRef) -> Option<Bytes> {
        self.page_calls += 1;
        if self.down || self.page_missing {
            return None;
        }
        let bytes = self.history.get(self.shown)?.pages.get(&page.name)?;
        if self.page_damaged {
            return Some(bytes.slice(..bytes.len() - 1));
        }
        Some(bytes.clone())
    }

    /// The highest published generation, whether it is served or not.
    pub fn highest(&self) -> Generation {
        self.history.iter().map(|published| published.generation).max().unwrap_or_default()
    }
}

/// The services of the platform; while the list lags, `shown` stays behind `truth`.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    pub service: Service,
    pub truth: Listing,
    pub shown: Listing,
    pub lagging: bool,
    pub list_down: bool,
    /// Virtual time of the last change of `list_down`, in microseconds.
    pub list_changed: u64,
}

impl Platform {
    /// Makes the list fail or answer again.
    pub fn set_list_down(&mut self, now: u64, down: bool) {
        if self.list_down != down {
            self.list_changed = now;
        }
        self.list_down = down;
    }

    /// Updates the shown list to the truth unless it lags.
    pub fn refresh(&mut self) {
        if !self.lagging {
            self.shown = self.truth.clone();
        }
    }
}
