//! Simulation models of the platform in virtual time: a model engine and the weight store.
//!
//! They model only what the decisions depend on: continuous batching in steps, few
//! adapter slots, cold starts and the store's rate limit. They read no clock; the
//! simulation passes the time.

mod engine_model;
mod store_model;

pub use engine_model::EngineModel;
pub use engine_model::RunningRequest;
pub use engine_model::StepEvent;
pub use store_model::LOAD_TIME;
pub use store_model::StoreModel;
