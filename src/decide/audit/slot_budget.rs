//! How many adapters the engines of each base model can hold.

use std::collections::BTreeMap;
use std::str::FromStr;

use crate::names::ModelName;

/// Adapter slots of all engines of one base model together; parsed from `MODEL=SLOTS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotBudget {
    /// The base model.
    pub model: ModelName,
    /// Number of its slots.
    pub slots: usize,
}

impl SlotBudget {
    /// Number of slots by base model.
    pub fn by_model(budgets: &[Self]) -> BTreeMap<ModelName, usize> {
        budgets.iter().map(|budget| (budget.model.clone(), budget.slots)).collect()
    }
}

impl FromStr for SlotBudget {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || format!("{text:?} is not MODEL=SLOTS");
        let (model, slots) = text.split_once('=').ok_or_else(invalid)?;
        let slots = slots.parse().map_err(|_| invalid())?;
        if model.is_empty() {
            return Err(invalid());
        }
        Ok(Self { model: ModelName::new(model), slots })
    }
}
