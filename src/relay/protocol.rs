//! What differs between deployments: names, formats and calls.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::http::request;
use hyper::http::response;

use crate::decide::traffic::AdapterKey;
use crate::decide::traffic::HeldModel;
use crate::decide::traffic::Order;
use crate::decide::traffic::PublishedEvent;
use crate::decide::traffic::PublishedItem;
use crate::decide::traffic::ReplicaEntry;
use crate::decide::traffic::RequestNeeds;
use crate::decide::traffic::TrafficConfig;
use crate::names::BackendName;

/// Something that can't be decoded, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a caller asks, read from the head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Id of the request; unique.
    pub id: String,
    /// Time that the caller will wait, if it says so.
    pub caller_timeout: Option<Duration>,
    /// What the request wants of a replica.
    pub wanted: RequestNeeds,
    /// The event after which a stream goes on.
    pub resume_after: Option<String>,
}

/// What a request to a replica carries besides the caller's own headers.
#[derive(Clone, Debug)]
pub struct AttemptHead<'a> {
    /// The replica that must run it.
    pub replica: &'a BackendName,
    /// Time that is left.
    pub time_left: Option<Duration>,
    /// Rank of the request; 0 is the most urgent. Only model engines know it.
    pub priority: Option<u8>,
    /// The event after which a stream goes on.
    pub resume_after: Option<&'a str>,
    /// Version of the adapter that must run it.
    pub version: Option<u64>,
}

/// What an answer's head says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Whether the replica says that it didn't run the request.
    pub not_run: bool,
    /// Replica that answers, if it says so.
    pub replica: Option<BackendName>,
    /// Whether the answer bears the mark of a replica that ran the request.
    pub is_sealed: bool,
    /// Whether the body is encoded, which no replica does.
    pub is_encoded: bool,
}

/// What a replica reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaReport {
    /// Unix milliseconds of its start.
    pub started_ms: u64,
    /// Orders that it has accepted since.
    pub accepted_orders: u64,
    /// What it holds.
    pub models: Vec<HeldModel>,
    /// Adapters on their way.
    pub coming: Vec<AdapterKey>,
}

/// An order with the numbers that guard it.
#[derive(Clone, Debug)]
pub struct FencedOrder<'a> {
    /// The order.
    pub order: &'a Order,
    /// The replica that it is for.
    pub replica: &'a BackendName,
    /// Name of the instance that gives it.
    pub holder: &'a str,
    /// Fencing number of the tenure.
    pub fence: u64,
    /// Orders that the replica must have accepted so far.
    pub expected: u64,
}

/// How a replica answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It is carried out already.
    Done,
    /// Another order was accepted meanwhile, or a higher fencing number was seen.
    Conflict,
    /// Another replica has the address.
    OtherInstance,
    /// It was refused as faulty.
    Refused,
}

/// A call to a replica's own interface.
#[derive(Clone, Debug)]
pub struct ReplicaCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers besides those of HTTP itself.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

/// A part of the published state that is watched by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PublishedTopic {
    /// Traffic configuration and declared versions.
    Operator,
    /// Entries of replicas.
    Replicas,
}

impl PublishedTopic {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Replicas => "replicas",
        }
    }
}

/// One page of items or events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedPage {
    /// The changes; a listing has writes only.
    pub events: Vec<PublishedEvent>,
    /// Whether another page follows.
    pub has_more: bool,
    /// Revision that the page stands for.
    pub as_of: u64,
}

/// Names, formats and calls of one kind of deployment.
pub trait Protocol: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// A fault if a header can't be decoded.
    fn read_request_head(&self, head: &request::Parts) -> Result<RequestHead, DecodeError>;

    /// Whether a path asks whether the instance takes work.
    fn is_ready_path(&self, path: &str) -> bool;

    /// Headers of a request to a replica; `caller` are the caller's, less those of one connection.
    fn attempt_headers(&self, caller: &HeaderMap, head: &AttemptHead<'_>) -> HeaderMap;

    /// Reads the head of a replica's answer.
    fn read_response_head(&self, head: &response::Parts) -> ResponseHead;

    /// Headers of an answer of the instance itself.
    fn local_response_headers(&self, id: &str, retry_after: Option<Duration>) -> HeaderMap;

    /// The call for a replica's report.
    fn report_call(&self, replica: &BackendName) -> ReplicaCall;

    /// Reads a report.
    ///
    /// # Errors
    ///
    /// A fault if the body isn't a report.
    fn read_report(&self, body: &[u8]) -> Result<ReplicaReport, DecodeError>;

    /// The call that gives an order.
    fn order_call(&self, call: &FencedOrder<'_>) -> ReplicaCall;

    /// Reads the answer to an order.
    fn read_order_answer(&self, status: StatusCode) -> OrderAnswer;

    /// Path that lists a topic's items after a key.
    fn list_path(&self, topic: PublishedTopic, after: Option<&str>) -> String;

    /// Path that waits for changes of a topic after a revision.
    fn watch_path(&self, topic: PublishedTopic, after: u64, wait: Duration) -> String;

    /// Whether the status of a watch says that the changes are no longer kept.
    fn is_history_lost(&self, status: StatusCode) -> bool;

    /// Reads a page of a listing.
    ///
    /// # Errors
    ///
    /// A fault if the body isn't a page.
    fn read_list(&self, body: &[u8]) -> Result<PublishedPage, DecodeError>;

    /// Reads the answer to a watch.
    ///
    /// # Errors
    ///
    /// A fault if the body isn't such an answer.
    fn read_watch(&self, body: &[u8]) -> Result<PublishedPage, DecodeError>;

    /// Reads the traffic configuration, if the item is one.
    ///
    /// # Errors
    ///
    /// A fault if the item is a configuration that can't be decoded.
    fn read_config(&self, item: &PublishedItem) -> Result<Option<TrafficConfig>, DecodeError>;

    /// Reads the declared version of an adapter, if the item is one.
    ///
    /// # Errors
    ///
    /// A fault if the item is a declaration that can't be decoded.
    fn read_version(&self, item: &PublishedItem) -> Result<Option<(AdapterKey, u64)>, DecodeError>;

    /// Reads a replica's entry.
    ///
    /// # Errors
    ///
    /// A fault if the item names no replica to use.
    fn read_replica(&self, item: &PublishedItem) -> Result<ReplicaEntry, DecodeError>;

    /// Name of the replica that a key belongs to.
    fn replica_of_key(&self, key: &str) -> Option<BackendName>;
}
