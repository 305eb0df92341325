//! Decisions of the relay: requests that go straight from an entry instance to a replica.
//!
//! [`TrafficConfig`] says which service a request belongs to, [`Replicas`] which
//! replica of it takes the request, and [`Attempts`] what may still be sent after
//! an attempt ended. [`ReplicaPlan`] decides which adapters a replica holds,
//! [`OrderLease`] which instance may order them, and [`Peers`] which instances
//! there are.

mod adapter_homes;
mod adapter_key;
mod adapter_uses;
mod attempts;
mod coming;
mod config;
mod crash_guard;
mod entry;
mod event_splitter;
mod held_adapter;
mod hot_adapter;
mod kept_copies;
mod order;
mod order_lease;
mod peer_gossip;
mod peers;
mod plan_handover;
mod prefix_tracker;
mod prompt_turns;
mod published_item;
mod published_view;
mod replica;
mod replica_plan;
mod replicas;
mod retry_share;
mod route;
mod shutdown;
mod use_update;
mod versions;
mod wait_budget;
mod workload;

pub use adapter_homes::AdapterHomes;
pub use adapter_key::AdapterKey;
pub use adapter_uses::AdapterUses;
pub use attempts::AttemptEnd;
pub use attempts::Attempts;
pub use attempts::FinalAnswer;
pub use attempts::NextAttempt;
pub use coming::Coming;
pub use config::EngineSpec;
pub use config::ModelSpec;
pub use config::Service;
pub use config::TrafficConfig;
pub use crash_guard::CrashGuard;
pub use entry::HeldModel;
pub use entry::ReplicaEntry;
pub use entry::ReplicaState;
pub use event_splitter::EventSplitter;
pub use held_adapter::HeldAdapter;
use hot_adapter::is_hot;
use hot_adapter::is_on_busy_replica;
pub use kept_copies::KeptCopies;
pub use order::Order;
pub use order_lease::LeaseStep;
pub use order_lease::OrderLease;
pub use peer_gossip::PeerGossip;
pub use peer_gossip::PeerRecord;
pub use peers::Peers;
pub use plan_handover::PlanHandover;
pub use prefix_tracker::PrefixTracker;
pub use prefix_tracker::PromptPart;
pub use prompt_turns::PromptTurns;
pub use prompt_turns::TurnId;
pub use published_item::PublishedEvent;
pub use published_item::PublishedItem;
pub use published_view::PublishedView;
pub use published_view::ViewChanges;
pub use published_view::ViewDigest;
pub use replica::Replica;
pub use replica_plan::ReplicaPlan;
pub use replicas::Choice;
pub use replicas::Replicas;
pub use replicas::RequestNeeds;
pub use retry_share::RetryShare;
pub use route::Route;
pub use route::RouteKind;
pub use shutdown::Shutdown;
pub use use_update::UseUpdate;
pub use versions::DeclaredVersions;
pub use wait_budget::RETRY_AFTER;
pub use wait_budget::WaitBudget;
pub use workload::Workload;
