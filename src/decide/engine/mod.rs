//! What the owner of an engine decides: queues, slots, loads and dispatches.
//!
//! Only the owner dispatches to an engine, so it knows exactly what runs on
//! each adapter and never evicts one that has work.

mod action;
mod core;
mod event;
mod guard;
mod load_permits;
mod pinned;
mod slot;
mod summary;
mod waiting;

pub use action::EngineAction;
pub use core::EngineCore;
pub use event::EngineInput;
pub use guard::Guard;
pub use guard::GuardInput;
pub use load_permits::LoadPermits;
pub use load_permits::PermitMode;
pub use pinned::Pinned;
pub use slot::SlotState;
pub use summary::EngineSummary;
pub use waiting::Waiting;
