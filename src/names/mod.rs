//! Newtypes for identifiers and times, shared by every layer.
//!
//! Names are immutable `Arc<str>` strings, so a clone only raises a reference count.
//! Numbers with different meanings have different types.

mod adapter_ref;
mod fencing_number;
mod generation;
mod incarnation;
mod request_id;
mod shared_name;
mod timestamp;
mod version;
mod wall_time;

pub use adapter_ref::AdapterRef;
pub use fencing_number::FencingNumber;
pub use generation::Generation;
pub use incarnation::Incarnation;
pub use request_id::RequestId;
pub use shared_name::AccountName;
pub use shared_name::AdapterName;
pub use shared_name::BackendName;
pub use shared_name::CallerName;
pub use shared_name::DataCentre;
pub use shared_name::InstanceName;
pub use shared_name::ModelName;
pub use shared_name::PageName;
pub use shared_name::PresetName;
pub use shared_name::RouteName;
pub use shared_name::ServiceName;
pub use shared_name::SoftwareVersion;
pub use timestamp::Timestamp;
pub use version::Version;
pub use wall_time::WallTime;
