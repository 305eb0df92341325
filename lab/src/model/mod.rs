//! Models of the platform in virtual time: one engine and one weight store.
//!
//! The models keep the shape that matters for the decisions (batches in steps,
//! few slots, cold starts, rate limits) and nothing else. They use no clock.

mod engine_model;
mod store_model;

pub use engine_model::EngineModel;
pub use engine_model::Run;
pub use engine_model::StepEvent;
pub use store_model::LOAD_TIME;
pub use store_model::StoreModel;
