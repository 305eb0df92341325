//! What the owner of an engine decides: queues, slots, loads and dispatches.
//!
//! Only the owner dispatches to an engine, so it knows exactly what runs on
//! each adapter and never evicts one that has work.

mod action;
mod event;
mod load_permits;
mod pinned;
mod queued_request;
mod safety;
mod scheduler;
mod slot;
mod summary;

pub use action::EngineAction;
pub use event::EngineInput;
pub use load_permits::LoadPermits;
pub use load_permits::PermitMode;
pub use pinned::Pinned;
pub use queued_request::QueuedRequest;
pub use safety::SafetyConstraints;
pub use safety::SafetyInput;
pub use scheduler::EngineScheduler;
pub use slot::SlotState;
pub use summary::EngineSummary;
