//! A configuration as it would be published, and the checks of it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;

use super::Finding;
use super::SlotBudget;
use crate::decide::config::Snapshot;
use crate::names::AdapterName;
use crate::names::PageName;
use crate::names::PresetName;
use crate::wire::caller::MAX_PRIORITY;
use crate::wire::published::MAX_VALUE_BYTES;
use crate::wire::published::Page;
use crate::wire::published::Preset;
use crate::wire::published::PublishedAdapter;
use crate::wire::published::Root;

const MAX_STALL_WEIGHT: u8 = 100;

/// A root and the pages that could be parsed, with the findings about them.
#[derive(Clone, Debug)]
pub struct ConfigDraft {
    root: Root,
    adapters: BTreeMap<AdapterName, PublishedAdapter>,
    findings: Vec<Finding>,
}

impl ConfigDraft {
    /// Parses and checks a root and every page found beside it.
    ///
    /// # Errors
    ///
    /// The findings so far, if the root can't be parsed.
    pub fn check(
        root: &Bytes,
        pages: &BTreeMap<PageName, Bytes>,
        slots: &[SlotBudget],
    ) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        check_size("root.json", root, &mut findings);
        let root: Root = match serde_json::from_slice(root) {
            Ok(root) => root,
            Err(e) => {
                findings.push(Finding::new("root.json", e.to_string()));
                return Err(findings);
            }
        };
        let mut draft = Self { root, adapters: BTreeMap::new(), findings };
        draft.check_pages(pages);
        draft.check_preset_in_force();
        draft.check_presets(slots);
        Ok(draft)
    }

    /// The parsed root.
    pub fn root(&self) -> &Root {
        &self.root
    }

    /// Everything that is wrong, in the order of the checks.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Every adapter of the pages that could be parsed.
    pub fn adapters(&self) -> &BTreeMap<AdapterName, PublishedAdapter> {
        &self.adapters
    }

    /// A preset by its name.
    pub fn preset(&self, name: &PresetName) -> Option<&Preset> {
        self.root.presets.get(name)
    }

    fn add_finding(&mut self, place: impl Into<String>, reason: impl Into<String>) {
        self.findings.push(Finding::new(place, reason));
    }

    fn check_pages(&mut self, pages: &BTreeMap<PageName, Bytes>) {
        let mut referenced = BTreeSet::new();
        for (i, page) in self.root.pages.clone().into_iter().enumerate() {
            let place = format!("root.json $.pages[{i}]");
            let name = page.name.as_str();
            if !referenced.insert(page.name.clone()) {
                self.add_finding(place, format!("page {name:?} is referenced twice"));
                continue;
            }
            let Some(bytes) = pages.get(&page.name) else {
                self.add_finding(place, format!("page {name:?} does not exist"));
                continue;
            };
            let hash = Snapshot::hash(bytes);
            if hash != page.hash {
                let reason = format!("hash {:?}, but page {name:?} has {hash:?}", page.hash);
                self.add_finding(place, reason);
            }
            self.check_page(&page.name, bytes);
        }
        for name in pages.keys().filter(|name| !referenced.contains(*name)) {
            self.add_finding(page_place(name), "no root references it");
        }
    }

    fn check_page(&mut self, name: &PageName, bytes: &Bytes) {
        let place = page_place(name);
        check_size(&place, bytes, &mut self.findings);
        let page: Page = match serde_json::from_slice(bytes) {
            Ok(page) => page,
            Err(e) => return self.add_finding(place, e.to_string()),
        };
        for (adapter, published) in page.adapters {
            let place = format!("{place} $.adapters.{adapter}");
            if published.versions.is_empty() {
                self.add_finding(place.clone(), "has no version");
            }
            let distinct: BTreeSet<_> = published.versions.iter().collect();
            if distinct.len() < published.versions.len() {
                self.add_finding(place.clone(), "lists a version twice");
            }
            if self.adapters.insert(adapter, published).is_some() {
                self.add_finding(place, "is on another page too");
            }
        }
    }

    fn check_preset_in_force(&mut self) {
        if !self.root.presets.contains_key(&self.root.preset) {
            let reason = format!("preset {:?} does not exist", self.root.preset.as_str());
            self.add_finding("root.json $.preset", reason);
        }
    }

    fn check_presets(&mut self, slots: &[SlotBudget]) {
        for (name, preset) in self.root.presets.clone() {
            let place = format!("root.json $.presets.{name}");
            if preset.stall_weight > MAX_STALL_WEIGHT {
                let reason = format!("{} is over {MAX_STALL_WEIGHT}", preset.stall_weight);
                self.add_finding(format!("{place}.stall_weight"), reason);
            }
            self.check_pinned(&place, &preset);
            self.check_priorities(&place, &preset);
            self.check_slots(&place, &preset, slots);
        }
    }

    fn check_pinned(&mut self, place: &str, preset: &Preset) {
        let mut seen = BTreeSet::new();
        for (i, adapter) in preset.pinned.iter().enumerate() {
            let place = format!("{place}.pinned[{i}]");
            if !self.adapters.contains_key(adapter) {
                let reason = format!("adapter {:?} is not published", adapter.as_str());
                self.add_finding(place.clone(), reason);
            }
            if !seen.insert(adapter) {
                self.add_finding(place, format!("adapter {:?} is pinned twice", adapter.as_str()));
            }
        }
    }

    fn check_priorities(&mut self, place: &str, preset: &Preset) {
        for (adapter, priority) in &preset.priorities {
            let place = format!("{place}.priorities.{adapter}");
            if !self.adapters.contains_key(adapter) {
                self.add_finding(place.clone(), "adapter is not published");
            }
            if *priority > MAX_PRIORITY {
                self.add_finding(place, format!("{priority} is over {MAX_PRIORITY}"));
            }
        }
    }

    fn check_slots(&mut self, place: &str, preset: &Preset, slots: &[SlotBudget]) {
        for (model, slots) in SlotBudget::by_model(slots) {
            let pinned: BTreeSet<_> = preset
                .pinned
                .iter()
                .filter(|adapter| self.adapters.get(*adapter).is_some_and(|a| a.model == model))
                .collect();
            if pinned.len() > slots {
                let count = pinned.len();
                let reason = format!(
                    "{count} adapters of base model {:?} for {slots} slots",
                    model.as_str()
                );
                self.add_finding(format!("{place}.pinned"), reason);
            }
        }
    }
}

fn page_place(name: &PageName) -> String {
    format!("pages/{name}.json")
}

fn check_size(place: &str, bytes: &Bytes, findings: &mut Vec<Finding>) {
    if bytes.len() > MAX_VALUE_BYTES {
        let reason = format!("{} bytes, over the limit of {MAX_VALUE_BYTES}", bytes.len());
        findings.push(Finding::new(place, reason));
    }
}
