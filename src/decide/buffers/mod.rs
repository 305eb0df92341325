//! How much a process keeps in memory for others, and whom it turns away when that is too much.
//!
//! Bodies of requests and responses arrive at the pace of those who send them, and many may stop just
//! short of their end. All of them together are kept within one budget: a body gets room in step with
//! what has arrived, never for what was only announced.

mod buffer_budget;
mod buffer_class;
mod buffer_id;
mod buffer_kind;
mod buffer_use;
mod growth;
mod room;

pub use buffer_budget::BufferBudget;
pub use buffer_class::BufferClass;
pub use buffer_id::BufferId;
pub use buffer_kind::BufferKind;
pub use buffer_use::BufferUse;
pub use growth::grown_size;
pub use room::Room;
