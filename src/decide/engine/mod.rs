//! Scheduling on one engine, by the instance that owns it.
//!
//! [`EngineScheduler`] decides which queued request is dispatched next, which
//! adapter is loaded for those that wait, and which idle adapter is evicted to
//! make room. Its inputs are the requests, the ends of orders, the measured
//! demand, the load permits and the preset in force. Only the owner dispatches
//! to an engine, so it knows exactly what runs on each adapter and never evicts
//! one that has work.

mod action;
mod input;
mod load_permits;
mod pinned_adapters;
mod queued_request;
mod safety;
mod scheduler;
mod slot;
mod summary;

pub use action::EngineAction;
pub use input::EngineInput;
pub use load_permits::LoadPermits;
pub use load_permits::PermitMode;
pub use pinned_adapters::PinnedAdapters;
pub use queued_request::QueuedRequest;
pub use safety::SafetyConstraints;
pub use safety::SafetyInput;
pub use scheduler::EngineScheduler;
pub use slot::SlotState;
pub use summary::EngineSummary;
