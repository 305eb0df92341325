//! `lab soak`: a fleet of the real platform program under random faults, with checks while it runs.
//!
//! A seed determines a schedule of disruptions that overlap and end before a calm time. Each instance
//! has loopback addresses of its own, reaches the store and other instances through links that can be
//! disturbed, and is started again after each end, as a platform does. Callers and backend servers
//! record what they see, which is checked against what the system promises.

mod callers;
mod checks;
mod command;
mod config_probe;
mod connection;
mod cpu_time;
mod disruption;
mod endless_server;
mod entry_pool;
mod environment;
mod finding;
mod fleet;
mod instance;
mod link;
mod other_program;
mod outcome;
mod outside;
mod platform_store;
mod readiness;
pub mod record;
mod recovery;
mod run;
mod schedule;
mod settings;
mod shrink;
mod template;

pub use callers::Callers;
pub use callers::Load;
pub use checks::Rule;
pub use checks::ServedShare;
pub use checks::Violation;
pub use checks::check;
pub use checks::served_shares;
pub use command::command;
pub use command::run;
pub use command::run_seed;
pub use config_probe::ConfigProbe;
pub use disruption::Disruption;
pub use disruption::DisruptionKind;
pub use disruption::LinkFault;
pub use disruption::ReplicaFault;
pub use disruption::StoreFault;
pub use environment::Surroundings;
pub use finding::Finding;
pub use finding::FindingKind;
pub use fleet::Trouble;
pub use other_program::Manner;
pub use other_program::TakenAddress;
pub use outcome::Outcome;
pub use outside::Outside;
pub use outside::OutsidePlan;
pub use readiness::Answer;
pub use readiness::Change;
pub use record::Record;
pub use recovery::Recovery;
pub use run::SoakOptions;
pub use run::run_schedule;
pub use schedule::Schedule;
pub use settings::Addrs;
pub use settings::Links;
pub use settings::Ports;
pub use settings::settings_text;
pub use shrink::shrink;
pub use template::render;
