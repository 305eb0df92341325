//! What the store's history of the replicas' entries tells of those that left before this process
//! began to follow them.
//!
//! A process that has just started sees only the replicas that are listed. Its predecessors, which
//! forwarded the streams that callers now take up, may have forwarded them from others.
//!
//! Only instances give orders. So two entries of the same start of a replica that differ in what it
//! holds show that instances served in between: replicas that had ended before left no stream behind
//! that wasn't resumed elsewhere.

use std::collections::HashMap;

use super::EntryChange;
use super::FormerReplica;
use super::HistoryWindow;
use super::ReplicaEntry;
use crate::names::BackendName;

/// Replicas that left within the store's history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaHistory {
    /// Those of which the history has an entry.
    pub departed: Vec<FormerReplica>,
    /// Those of which it has none, so that neither service nor software version are known: their entry
    /// was removed, or another start may have written over it.
    pub unidentified: Vec<BackendName>,
}

#[derive(Clone, Debug)]
struct LastEntry {
    entry: ReplicaEntry,
    place: usize,
}

impl ReplicaHistory {
    /// Goes through all changes of a window, in their order.
    pub fn replay(window: HistoryWindow, changes: impl IntoIterator<Item = EntryChange>) -> Self {
        let mut last: HashMap<BackendName, LastEntry> = HashMap::new();
        let mut departed: Vec<(usize, FormerReplica)> = Vec::new();
        let mut unidentified = Vec::new();
        let mut written_over = Vec::new();
        let mut served_after = 0;
        for (place, change) in changes.into_iter().enumerate() {
            match change {
                EntryChange::Removed(name) => match last.remove(&name) {
                    Some(known) => departed.push((place, FormerReplica::removed(&known.entry))),
                    None => unidentified.push(name),
                },
                EntryChange::Written { entry, created } => {
                    let name = entry.name.clone();
                    let is_new_start = window.may_have_begun(&entry);
                    if !is_new_start {
                        unidentified.retain(|other| *other != name);
                    }
                    departed.retain(|(_, former)| !is_same_start(former, &entry));
                    let known =
                        last.insert(name.clone(), LastEntry { entry: entry.clone(), place });
                    let Some(known) = known else {
                        if is_new_start && window.is_older(created) {
                            written_over.push(name);
                        }
                        continue;
                    };
                    if known.entry.started_ms != entry.started_ms {
                        departed.push((place, FormerReplica::replaced(&known.entry)));
                    } else if was_ordered(&known.entry, &entry) {
                        served_after = served_after.max(known.place);
                    }
                }
            }
        }
        let departed = departed
            .into_iter()
            .map(|(place, former)| if place < served_after { former.in_service() } else { former });
        unidentified.extend(written_over);
        Self { departed: departed.collect(), unidentified }
    }
}

fn is_same_start(former: &FormerReplica, entry: &ReplicaEntry) -> bool {
    former.name == entry.name && former.started_ms == entry.started_ms
}

/// Whether what a replica holds changed between two of its entries, which only orders cause.
fn was_ordered(before: &ReplicaEntry, after: &ReplicaEntry) -> bool {
    before.models != after.models
}
