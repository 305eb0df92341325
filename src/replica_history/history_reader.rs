//! Calls to the store for its history.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;
use tokio::time::timeout;

use crate::decide::traffic::EntryChange;
use crate::decide::traffic::HistorySearch;
use crate::decide::traffic::HistoryWindow;
use crate::decide::traffic::PublishedEvent;
use crate::decide::traffic::ReplicaHistory;
use crate::decide::traffic::SearchStep;
use crate::edge::HttpCall;
use crate::edge::HttpClient;
use crate::relay::Protocol;
use crate::relay::PublishedPage;
use crate::relay::PublishedTopic;
use crate::relay::RelaySettings;

/// Time within which the whole history is read.
const READ_TIME: Duration = Duration::from_millis(400);
/// Time for which a call for changes waits if there are none.
const WATCH_WAIT: Duration = Duration::from_millis(1);

/// What the store told.
pub struct ReadHistory {
    /// Replicas that left.
    pub replicas: ReplicaHistory,
    /// Revision after which all changes were read.
    pub oldest: u64,
}

/// Answer of the store to a call for the changes after a revision.
enum Changes {
    Kept(PublishedPage),
    Gone,
}

/// Reads the history of the replicas' entries.
pub struct HistoryReader {
    protocol: Arc<dyn Protocol>,
    http: HttpClient,
    store: SocketAddr,
    /// Time for which the store keeps its changes; `None` if that isn't known.
    kept_for: Option<Duration>,
    /// Time between two heartbeats of a replica; `None` if that isn't known.
    replica_heartbeat: Option<Duration>,
    /// Held while the store is called.
    turn: Mutex<()>,
}

impl HistoryReader {
    /// A reader of the history that the store of these settings keeps.
    pub fn new(protocol: Arc<dyn Protocol>, http: HttpClient, settings: &RelaySettings) -> Self {
        Self {
            protocol,
            http,
            store: settings.published,
            kept_for: settings.published_history(),
            replica_heartbeat: settings.replica_heartbeat(),
            turn: Mutex::default(),
        }
    }

    /// Waits for the turn to call the store, so that requests which wait meanwhile find what was learned;
    /// `None` if it doesn't come in time.
    pub async fn turn(&self) -> Option<MutexGuard<'_, ()>> {
        timeout(READ_TIME, self.turn.lock()).await.ok()
    }

    /// Reads the changes up to the revision `newest` of `era` that the store still keeps; `None` if
    /// it keeps none or can't be read.
    pub async fn read(&self, newest: u64, era: u64) -> Option<ReadHistory> {
        let read = timeout(READ_TIME, self.search(newest, era)).await;
        read.unwrap_or_else(|_| Err("not read in time".to_owned()))
            .inspect_err(|e| log::debug!("history of the replicas: {e}"))
            .ok()
    }

    /// Whether the store still keeps the changes after each of two revisions of `era`; `None` if it
    /// can't be asked.
    pub async fn check(&self, oldest: u64, newest: u64, era: u64) -> Option<(bool, bool)> {
        let checks = async {
            let keeps_oldest = self.keeps(oldest, era).await?;
            // Asked afterwards, so that a loss of the whole history in between shows.
            Ok((keeps_oldest, self.keeps(newest, era).await?))
        };
        let checked = timeout(READ_TIME, checks).await;
        checked
            .unwrap_or_else(|_| Err("not checked in time".to_owned()))
            .inspect_err(|e| log::debug!("history of the replicas: {e}"))
            .ok()
    }

    /// Whether the store keeps the changes after a revision. Asked of the operator's items, which change
    /// rarely, so that the answer is short.
    async fn keeps(&self, after: u64, era: u64) -> Result<bool, String> {
        match self.changes(PublishedTopic::Operator, after, era).await? {
            Changes::Kept(_) => Ok(true),
            Changes::Gone => Ok(false),
        }
    }

    async fn search(&self, newest: u64, era: u64) -> Result<ReadHistory, String> {
        let mut search = HistorySearch::new(newest);
        loop {
            match search.next() {
                SearchStep::Try(after) => {
                    if self.keeps(after, era).await? {
                        search.on_kept(after);
                    } else {
                        search.on_gone(after);
                    }
                }
                SearchStep::Read(after) => {
                    match self.changes(PublishedTopic::Replicas, after, era).await? {
                        Changes::Kept(page) => {
                            let changes = self.read_rest(page, newest, era).await?;
                            let window =
                                HistoryWindow::new(after, self.kept_for, self.replica_heartbeat);
                            let replicas = ReplicaHistory::replay(window, changes);
                            return Ok(ReadHistory { replicas, oldest: after });
                        }
                        Changes::Gone => search.on_gone(after),
                    }
                }
                SearchStep::NothingKept => return Err("no changes are kept".to_owned()),
            }
        }
    }

    /// Reads what follows the first page, up to the revision `newest`.
    async fn read_rest(
        &self,
        first: PublishedPage,
        newest: u64,
        era: u64,
    ) -> Result<Vec<EntryChange>, String> {
        let mut as_of = first.as_of;
        let mut events = first.events;
        while as_of < newest {
            match self.changes(PublishedTopic::Replicas, as_of, era).await? {
                Changes::Kept(page) if page.as_of > as_of => {
                    as_of = page.as_of;
                    events.extend(page.events);
                }
                Changes::Kept(_) => return Err(format!("changes after {as_of} don't come")),
                Changes::Gone => return Err(format!("changes after {as_of} are gone")),
            }
        }
        Ok(events.iter().filter_map(|event| self.entry_change(event)).collect())
    }

    /// The change of an entry; `None` if it names no replica.
    fn entry_change(&self, event: &PublishedEvent) -> Option<EntryChange> {
        match event {
            PublishedEvent::Written(item) => {
                let entry = self.protocol.decode_replica(item).ok()?;
                Some(EntryChange::Written { entry, created: item.created })
            }
            PublishedEvent::Removed { key, .. } => {
                self.protocol.replica_of_key(key).map(EntryChange::Removed)
            }
        }
    }

    async fn changes(
        &self,
        topic: PublishedTopic,
        after: u64,
        era: u64,
    ) -> Result<Changes, String> {
        let call = HttpCall::get(self.store, self.protocol.watch_path(topic, after, WATCH_WAIT));
        let reply = self.http.send(call, READ_TIME).await.map_err(|f| f.detail)?;
        if self.protocol.store_era(reply.headers()).is_some_and(|answered| answered != era) {
            return Err("the store was restored".to_owned());
        }
        match reply.status {
            StatusCode::OK => {
                let body = reply.read_body_in_progress().await.map_err(|f| f.detail)?;
                let page = self.protocol.decode_watch(&body).map_err(|e| e.to_string())?;
                Ok(Changes::Kept(page))
            }
            status if self.protocol.is_history_lost(status) => Ok(Changes::Gone),
            status => Err(format!("status {status}")),
        }
    }
}
