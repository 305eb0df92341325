//! Routing and adapter placement of the relay, which sends requests from an entry instance
//! straight to a replica.
//!
//! For each request, [`TrafficConfig`] finds the route and [`Route`] the service, [`Replicas`]
//! picks the replica by expected delay, and [`Attempts`] decides whether another attempt may
//! follow a failed one. [`WaitBudget`] and [`RetryShare`] bound waits and retries, and
//! [`CrashGuard`] quarantines requests that crash replicas, and [`PromptGuard`] parts of prompts.
//!
//! Each replica has one owner, the entry instance that orders its adapter loads and unloads.
//! [`Peers`] tracks the live instances by gossip and ranks them for a replica by rendezvous
//! hashing; [`OrderLease`] is the owner's lease, and [`HolderHistory`] keeps earlier holders from
//! taking turns; [`ReplicaPlan`] decides which adapters the
//! replica holds, and [`AdapterHomes`] how many replicas should hold an adapter.
//!
//! A stream goes on only at the software version that began it: [`StreamOrigins`] remembers where
//! streams began, [`StreamVersion`] decides from what several instances know or, if none does, from
//! the replicas' KV caches ([`CacheListings`]), and [`Replicas`] chooses among the replicas of that
//! version.
//!
//! [`PublishedView`] is an instance's copy of the published state, which it reads itself or
//! gets from its peers.

mod adapter_homes;
mod adapter_key;
mod adapter_uses;
mod attempts;
mod cache_answer;
mod cache_holding;
mod cache_listings;
mod config;
mod coverage;
mod crash_evidence;
mod crash_guard;
mod departed;
mod departure;
mod entry;
mod entry_change;
mod era_check;
mod event_splitter;
mod first_listing;
mod first_report;
mod former_replica;
mod former_replicas;
mod giving_up;
mod gossip_targets;
mod held_adapter;
mod held_version;
mod history_extent;
mod history_knowledge;
mod history_search;
mod history_step;
mod history_window;
mod holder_history;
mod holder_wait;
mod home_choice;
mod hot_adapter;
mod known_peer;
mod listing_plan;
mod live_beats;
mod load_activity;
mod load_in_progress;
mod load_requests;
mod odd_item_log;
mod order;
mod order_lease;
mod order_watch;
mod origin_knowledge;
mod origin_presence;
mod overlapping_calls;
mod owner_election;
mod peer_gossip;
mod peers;
mod plan_handover;
mod possible_origin;
mod prefix_tracker;
mod prompt_guard;
mod prompt_turns;
mod published_item;
mod published_view;
mod quarantine_change;
mod receiver;
mod replica;
mod replica_choice;
mod replica_history;
mod replica_pace;
mod replica_pause;
mod replica_plan;
mod replica_ranking;
mod replicas;
mod request_needs;
mod response_progress;
mod retry_share;
mod route;
mod search_step;
mod shutdown;
mod sound_part;
mod stream_key;
mod stream_origins;
mod stream_pace;
mod stream_version;
mod strikes;
mod suspect_part;
mod typical_pace;
mod use_serials;
mod use_update;
mod versions;
mod view_changes;
mod view_digest;
mod wait_budget;
mod warm_copies;
mod workload;

pub use adapter_homes::AdapterHomes;
pub use adapter_key::AdapterKey;
pub use adapter_uses::AdapterUses;
pub use attempts::AttemptEnd;
pub use attempts::Attempts;
pub use attempts::FinalOutcome;
pub use attempts::NextAttempt;
pub use cache_answer::CacheAnswer;
pub use cache_holding::CacheHolding;
pub use cache_listings::CacheListings;
pub use config::EngineSpec;
pub use config::ModelSpec;
pub use config::Service;
pub use config::TrafficConfig;
pub use coverage::Coverage;
pub use crash_evidence::CrashEvidence;
pub use crash_guard::CrashGuard;
pub use departure::Departure;
pub use entry::HeldModel;
pub use entry::ReplicaEntry;
pub use entry::ReplicaState;
pub use entry_change::EntryChange;
pub use era_check::EraCheck;
pub use event_splitter::EventSplitter;
pub use first_listing::FirstListing;
pub use first_report::FirstReport;
pub use former_replica::FormerReplica;
pub use giving_up::GivingUp;
pub use held_adapter::HeldAdapter;
pub use history_extent::HistoryExtent;
pub use history_knowledge::HistoryKnowledge;
pub use history_search::HistorySearch;
pub use history_step::HistoryStep;
pub use history_window::HistoryWindow;
pub use holder_history::HolderHistory;
pub use holder_wait::HolderWait;
pub use home_choice::HomeState;
pub use home_choice::Presence;
pub use home_choice::preferred_homes;
use hot_adapter::is_hot;
use hot_adapter::should_spread;
pub use listing_plan::ListingFailure;
pub use listing_plan::ListingPlan;
pub use listing_plan::ListingWay;
pub use load_activity::LoadActivity;
pub use load_in_progress::LoadInProgress;
pub use load_requests::LoadRequests;
pub use odd_item_log::OddItemLog;
pub use order::Order;
pub use order_lease::LeaseStep;
pub use order_lease::OrderLease;
pub use origin_knowledge::OriginKnowledge;
pub use origin_presence::OriginPresence;
pub use overlapping_calls::OverlappingCalls;
pub use peer_gossip::Beats;
pub use peer_gossip::PeerGossip;
pub use peer_gossip::PeerRecord;
pub use peers::ORIGIN_LOOKUPS;
pub use peers::ORIGIN_WITNESSES;
pub use peers::Peers;
pub use plan_handover::PlanHandover;
pub use possible_origin::PossibleOrigin;
pub use prefix_tracker::PrefixTracker;
pub use prefix_tracker::PromptPart;
pub use prompt_guard::PromptGuard;
pub use prompt_guard::Quarantine;
pub use prompt_turns::PromptTurns;
pub use prompt_turns::TurnId;
pub use published_item::PublishedEvent;
pub use published_item::PublishedItem;
pub use published_view::PublishedView;
pub use quarantine_change::QuarantineChange;
pub use receiver::Receiver;
pub use replica::Replica;
pub use replica_choice::ReplicaChoice;
pub use replica_history::ReplicaHistory;
pub use replica_pace::ReplicaPace;
pub use replica_pause::ReplicaPause;
pub use replica_pause::RetryAfter;
pub use replica_plan::ReplicaPlan;
pub use replicas::Replicas;
pub use request_needs::RequestNeeds;
pub use response_progress::ResponseProgress;
pub use retry_share::RetryShare;
pub use route::Route;
pub use route::RouteKind;
pub use search_step::SearchStep;
pub use shutdown::Shutdown;
pub use sound_part::SoundPart;
pub use stream_key::StreamKey;
pub use stream_origins::STREAM_MEMORY_TIME;
pub use stream_origins::StreamOrigins;
pub use stream_pace::StreamPace;
pub use stream_version::StreamVersion;
pub use strikes::Strikes;
use suspect_part::SuspectPart;
pub use typical_pace::TypicalPace;
pub use use_serials::serial_at_start;
pub use use_update::UseUpdate;
pub use versions::DeclaredVersions;
pub use view_changes::ViewChanges;
pub use view_digest::ViewDigest;
pub use wait_budget::RETRY_AFTER;
pub use wait_budget::WaitBudget;
pub use warm_copies::WarmCopies;
pub use workload::Workload;
