//! Backend servers that may get new work.

use std::collections::BTreeMap;

use crate::names::BackendName;
use crate::names::ModelName;
use crate::wire::listing::BackendRole;
use crate::wire::listing::ListedBackend;
use crate::wire::listing::ListedState;

/// The backend servers that one instance knows of.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    known: BTreeMap<BackendName, ListedBackend>,
}

impl Backends {
    /// Takes the platform's list.
    pub fn on_listing(&mut self, listed: Vec<ListedBackend>) {
        self.known = listed.into_iter().map(|backend| (backend.name.clone(), backend)).collect();
    }

    /// One backend server by name.
    pub fn get(&self, name: &BackendName) -> Option<&ListedBackend> {
        self.known.get(name)
    }

    /// Engines of a base model that may get new work.
    pub fn live_engines(&self, wanted: &ModelName) -> Vec<&ListedBackend> {
        self.live().filter(|backend| matches!(&backend.role, BackendRole::Engine { model, .. } if model == wanted)).collect()
    }

    /// Every engine that may get new work.
    pub fn all_live_engines(&self) -> Vec<&ListedBackend> {
        self.live().filter(|backend| matches!(backend.role, BackendRole::Engine { .. })).collect()
    }

    /// Desks that may get new work.
    pub fn live_desks(&self) -> Vec<&ListedBackend> {
        self.live().filter(|backend| backend.role == BackendRole::Desk).collect()
    }

    fn live(&self) -> impl Iterator<Item = &ListedBackend> {
        self.known.values().filter(|backend| backend.state == ListedState::Live)
    }
}
