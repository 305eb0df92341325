//! Checks of a configuration before it is published, and the cost of a preset switch.
//!
//! An instance refuses a damaged configuration as a whole. These checks report
//! every finding at once, also what an instance would accept but no operator
//! wants, such as a pinned adapter that isn't published.

mod config_draft;
mod finding;
mod fleet_slots;
mod preset_diff;
mod slot_budget;
mod store_budget;

pub use config_draft::ConfigDraft;
pub use finding::Finding;
pub use fleet_slots::FleetSlots;
pub use preset_diff::PresetDiff;
pub use slot_budget::SlotBudget;
pub use store_budget::StoreBudget;
