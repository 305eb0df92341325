//! The deployment-specific side of a relay: header names, body formats and control calls.
//!
//! A [`Protocol`] translates between these and the relay's own types. It makes no decision.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::http::request;

use super::odd_item::OddItem;
use crate::decide::accounts::Credential;
use crate::decide::send_limits::NamedLimits;
use crate::decide::traffic::AdapterKey;
use crate::decide::traffic::HeldModel;
use crate::decide::traffic::LoadActivity;
use crate::decide::traffic::Order;
use crate::decide::traffic::PromptPart;
use crate::decide::traffic::PublishedEvent;
use crate::decide::traffic::PublishedItem;
use crate::decide::traffic::ReplicaEntry;
use crate::decide::traffic::RequestNeeds;
use crate::decide::traffic::RetryAfter;
use crate::decide::traffic::TrafficConfig;
use crate::names::AccountName;
use crate::names::BackendName;

/// Why a header, body or published item can't be decoded, as text for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What the relay reads from the head of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Request id; unique.
    pub id: String,
    /// API key that it names.
    pub credential: Credential,
    /// Sum of its token counts; `None` if it names none.
    pub tokens: Option<u64>,
    /// Time for which the caller waits; `None` if it sets no limit.
    pub caller_timeout: Option<Duration>,
    /// Model or adapter that it needs, and the sizes of its prompt and output.
    pub needs: RequestNeeds,
    /// Id of the last event that the caller has; its stream resumes after this one.
    pub resume_after: Option<String>,
    /// Id of the attempt that began the stream which the request takes up; `None` if it names none.
    pub resumes: Option<String>,
}

/// What other processes learn of a request's account by its headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccountHeader<'a> {
    /// The deployment has no accounts; the headers of the caller stay as they are.
    Unused,
    /// The request runs for no account.
    Anonymous,
    /// The request runs for this account.
    Account(&'a AccountName),
}

/// Values of the headers that an attempt has besides the caller's own.
#[derive(Clone, Debug)]
pub struct AttemptHeaderValues<'a> {
    /// Replica that must run the request.
    pub replica: &'a BackendName,
    /// Account that it runs for.
    pub account: AccountHeader<'a>,
    /// Time left until the deadline; `None` if there is none.
    pub time_left: Option<Duration>,
    /// Priority, 0 the most urgent; `None` for services without a model, since only model
    /// engines know priorities.
    pub priority: Option<u8>,
    /// Id of the last event received; the stream resumes after this one.
    pub resume_after: Option<&'a str>,
    /// Adapter version that must run it; `None` requires no particular one.
    pub version: Option<u64>,
}

/// What the relay reads from the head of a replica's response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that it belongs to.
    pub id: Option<String>,
    /// Whether the replica states that it didn't run the request.
    pub not_run: bool,
    /// Whether callers take its status as a promise that the request hasn't run; without `not_run` that
    /// isn't proved.
    pub claims_not_run: bool,
    /// Replica that sent it, if it names itself.
    pub replica: Option<BackendName>,
    /// Whether it carries the seal of a replica that ran the request.
    pub is_sealed: bool,
    /// Whether the body has a content encoding, which no replica uses.
    pub is_encoded: bool,
    /// Whether the replica says that it is leaving.
    pub is_leaving: bool,
    /// Time for which it wants no further requests.
    pub retry_after: RetryAfter,
    /// Limits that it names for all instances together.
    pub limits: NamedLimits,
}

/// A replica's report of its own state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaReport {
    /// When the replica started, in Unix milliseconds.
    pub started_ms: u64,
    /// Number of orders that it has accepted since.
    pub accepted_orders: u64,
    /// Models and adapters that it holds.
    pub models: Vec<HeldModel>,
    /// Adapters that it is loading.
    pub loading: Vec<AdapterKey>,
    /// Whether it carries out an order that keeps it from taking others, as the load of a base model.
    pub is_busy: bool,
}

impl ReplicaReport {
    /// The loads in progress.
    pub fn load_activity(&self) -> LoadActivity {
        match (self.is_busy, self.loading.is_empty()) {
            (true, _) => LoadActivity::Model,
            (false, false) => LoadActivity::Adapters,
            (false, true) => LoadActivity::Idle,
        }
    }
}

/// An order with the fencing number and the precondition under which it is valid.
#[derive(Clone, Debug)]
pub struct FencedOrder<'a> {
    /// What to load or unload.
    pub order: &'a Order,
    /// Replica that it is for.
    pub replica: &'a BackendName,
    /// Name of the instance that gives it: the replica's owner, which holds the lease on its
    /// orders.
    pub holder: &'a str,
    /// Fencing number of that lease.
    pub fence: u64,
    /// Number of orders that the replica must have accepted so far, or else it refuses this one.
    pub expected: u64,
}

/// A replica's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is being carried out.
    Accepted,
    /// There is nothing left to do for the order.
    Done,
    /// Another order was accepted meanwhile, or is in progress.
    Conflict,
    /// The replica has seen a higher fencing number.
    FenceTooLow,
    /// Another replica has the address now.
    OtherInstance,
    /// The order was refused as invalid.
    Refused,
}

/// HTTP call of a replica's control interface, which gives reports and accepts orders.
#[derive(Clone, Debug)]
pub struct ReplicaCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers besides those of HTTP itself.
    pub headers: Vec<(&'static str, String)>,
    /// Body; empty if the call has none.
    pub body: Bytes,
}

/// Part of the published state that is listed and watched separately, with its own revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PublishedTopic {
    /// Traffic configuration and declared adapter versions, set by the operator.
    Operator,
    /// Entries of replicas, one for each.
    Replicas,
}

impl PublishedTopic {
    /// All of them.
    pub const ALL: [Self; 2] = [Self::Operator, Self::Replicas];

    /// Its name in log lines and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Replicas => "replicas",
        }
    }
}

/// One page of a listing or a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedPage {
    /// The changes; a listing has writes only.
    pub events: Vec<PublishedEvent>,
    /// Whether another page follows.
    pub has_more: bool,
    /// Revision of the published state that the page reflects.
    pub as_of: u64,
    /// Last key of the page that can be read, as text or not; `None` if there is none.
    pub last_key: Option<Vec<u8>>,
    /// Items that can't be read, or not in full. One that can't be read has no event.
    pub odd: Vec<OddItem>,
}

/// Header names, body formats and control calls of one kind of deployment.
pub trait Protocol: Send + Sync + 'static {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// A header is missing or can't be decoded.
    fn decode_request_head(&self, head: &request::Parts) -> Result<RequestHead, DecodeError>;

    /// Whether `path` is that of the readiness check.
    fn is_ready_path(&self, path: &str) -> bool;

    /// Headers of an attempt, from `values` and from the caller's headers without the hop-by-hop
    /// ones.
    fn attempt_headers(&self, caller: &HeaderMap, values: &AttemptHeaderValues<'_>) -> HeaderMap;

    /// Removes the API key and the name of an account from a caller's headers, and sets the name of
    /// the account that the request runs for; does nothing in a deployment without accounts.
    fn set_account(&self, headers: &mut HeaderMap, account: AccountHeader<'_>);

    /// Era of the revisions of the published state that a response of its store names.
    fn store_era(&self, headers: &HeaderMap) -> Option<u64>;

    /// Decodes the head of a replica's response.
    fn decode_response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Headers of a response that the relay generates itself; `id` is empty if it is unknown.
    fn local_response_headers(&self, id: &str, retry_after: Option<Duration>) -> HeaderMap;

    /// Call that asks a replica for its report.
    fn report_call(&self, replica: &BackendName) -> ReplicaCall;

    /// Decodes a report.
    ///
    /// # Errors
    ///
    /// The body isn't a report.
    fn decode_report(&self, body: &[u8]) -> Result<ReplicaReport, DecodeError>;

    /// Call that asks a replica which parts of prompts its KV cache holds.
    fn cache_listing_call(&self, replica: &BackendName) -> ReplicaCall;

    /// Decodes the response to that call: the parts, with the number of tokens that are held.
    ///
    /// # Errors
    ///
    /// The body isn't such a listing.
    fn decode_cache_listing(&self, body: &[u8]) -> Result<Vec<PromptPart>, DecodeError>;

    /// Call that gives a replica an order.
    fn order_call(&self, fenced: &FencedOrder<'_>) -> ReplicaCall;

    /// A replica's answer to an order, by the status of its response.
    fn order_answer(&self, status: StatusCode) -> OrderAnswer;

    /// Path that lists a topic's items; the next page starts after the key `after`, which needn't be
    /// text. With `may_be_old` the listing may be some seconds old, which costs the store less.
    fn list_path(&self, topic: PublishedTopic, after: Option<&[u8]>, may_be_old: bool) -> String;

    /// Path that lists the part of a topic without which nothing can be served, on one page; `None` if
    /// the topic has no such part.
    fn list_part_path(&self, topic: PublishedTopic) -> Option<String>;

    /// Path of a long poll of up to `wait` for changes of a topic after revision `after`.
    fn watch_path(&self, topic: PublishedTopic, after: u64, wait: Duration) -> String;

    /// Whether the status of a watch says that the changes after its revision are no longer kept.
    fn is_history_lost(&self, status: StatusCode) -> bool;

    /// Decodes a page of a listing.
    ///
    /// # Errors
    ///
    /// The body isn't a page.
    fn decode_list(&self, body: &[u8]) -> Result<PublishedPage, DecodeError>;

    /// Decodes the response to a watch.
    ///
    /// # Errors
    ///
    /// The body isn't such a response.
    fn decode_watch(&self, body: &[u8]) -> Result<PublishedPage, DecodeError>;

    /// Decodes the traffic configuration; `None` if the item is something else.
    ///
    /// # Errors
    ///
    /// The item is a configuration that can't be decoded.
    fn decode_config(&self, item: &PublishedItem) -> Result<Option<TrafficConfig>, DecodeError>;

    /// Decodes the declared version of an adapter; `None` if the item is something else.
    ///
    /// # Errors
    ///
    /// The item is a declaration that can't be decoded.
    fn decode_version(
        &self,
        item: &PublishedItem,
    ) -> Result<Option<(AdapterKey, u64)>, DecodeError>;

    /// Decodes a replica's entry.
    ///
    /// # Errors
    ///
    /// The item doesn't describe a usable replica.
    fn decode_replica(&self, item: &PublishedItem) -> Result<ReplicaEntry, DecodeError>;

    /// Name of the replica that a key belongs to; `None` if it isn't the key of a replica.
    fn replica_of_key(&self, key: &str) -> Option<BackendName>;
}
