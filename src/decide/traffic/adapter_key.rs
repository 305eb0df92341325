//! Identifies what a replica has to hold for a request.

use serde::Deserialize;
use serde::Serialize;

use crate::names::AdapterName;
use crate::names::ModelName;

/// A base model, or an adapter of one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdapterKey {
    /// The base model.
    pub model: ModelName,
    /// The adapter; `None` means the base model alone.
    pub adapter: Option<AdapterName>,
}

impl AdapterKey {
    /// The base model alone.
    pub fn base(model: ModelName) -> Self {
        Self { model, adapter: None }
    }

    /// An adapter of a base model.
    pub fn adapter(model: ModelName, adapter: AdapterName) -> Self {
        Self { model, adapter: Some(adapter) }
    }

    /// `model/adapter`, or `model` alone: the key of the rendezvous ranking of replicas, and the
    /// name in logs.
    pub fn label(&self) -> String {
        match &self.adapter {
            Some(adapter) => format!("{}/{adapter}", self.model),
            None => self.model.to_string(),
        }
    }
}
