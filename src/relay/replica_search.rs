//! Finds a replica for the next attempt of a request: waits for one that is usable, for the end of
//! a pause, for its adapter to be loaded, for a permit if the replica names a limit, and for the
//! turn of a long prompt.
//!
//! A stream whose software version no replica runs any more is refused at once, with the time that
//! its caller has left: nothing that the caller could wait for is to be expected.

use std::time::Duration;

use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::adapter_use::AdapterUse;
use super::fleet_event::FleetEvent;
use super::forwarded_request::ForwardedRequest;
use super::loads;
use super::loads::LoadOutcome;
use super::log_event::LogEvent;
use super::log_event::record;
use super::pass_on;
use super::pass_on::Passing;
use super::permits;
use super::prompt_quarantine;
use super::prompt_quarantine::QuarantineCheck;
use super::response::LocalResponse;
use super::turns;
use super::turns::PromptTurn;
use crate::decide::traffic::ReplicaChoice;
use crate::decide::traffic::WaitBudget;
use crate::names::BackendName;
use crate::send_permits::SendPermit;

/// Shortest wait for an adapter that is logged.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(10);

/// A replica that the request can be sent to now.
pub struct FoundReplica {
    /// The replica.
    pub replica: BackendName,
    /// Keeps the adapter loaded there; `None` if the request needs none.
    pub adapter_use: Option<AdapterUse>,
    /// Turn of a long prompt; `None` if it needs none.
    pub turn: Option<PromptTurn>,
    /// Permit to send to it; `None` if it names no limit.
    pub permit: Option<SendPermit>,
}

/// Where a request goes next.
pub enum Found {
    /// To this replica.
    Replica(FoundReplica),
    /// Through another instance.
    Peer(Passing),
}

/// The search for replicas of one request; its waits add up over all its attempts.
pub struct ReplicaSearch<'a> {
    request: &'a ForwardedRequest,
    wait_budget: WaitBudget,
}

impl<'a> ReplicaSearch<'a> {
    /// A search without any wait so far.
    pub fn new(request: &'a ForwardedRequest) -> Self {
        Self { request, wait_budget: WaitBudget::default() }
    }

    /// Waits for a replica that wasn't tried yet.
    ///
    /// # Errors
    ///
    /// The relay's own response, if there is none in time or the request must not be sent.
    pub async fn find(&mut self) -> Result<Found, LocalResponse> {
        loop {
            match self.choose() {
                ReplicaChoice::OutOfReach => match pass_on::choose(self.request) {
                    Some(passing) => return Ok(Found::Peer(passing)),
                    None if self.request.is_passed_on => return Err(LocalResponse::OutOfReach),
                    None => self.wait_for_replica().await?,
                },
                ReplicaChoice::NoReplica => self.wait_for_replica().await?,
                ReplicaChoice::VersionGone => {
                    return Err(self.request.not_yet(self.request.time_until_deadline()));
                }
                ReplicaChoice::Paused { left, may_wait } => {
                    self.wait_for_pause(left, may_wait).await?;
                }
                ReplicaChoice::Load(targets) => self.wait_for_load(&targets).await?,
                ReplicaChoice::Send { replica, spread } => {
                    if let Some(target) = spread {
                        let ForwardedRequest { node, head, .. } = self.request;
                        loads::load_extra_copy(node, &head.needs, target);
                    }
                    let Some(permit) = self.acquire_permit(&replica).await else { continue };
                    return self.prepare(replica, permit).await.map(Found::Replica);
                }
            }
        }
    }

    fn choose(&self) -> ReplicaChoice {
        let ForwardedRequest { node, service, head, .. } = self.request;
        let now = node.now();
        let versions = node.versions();
        let attempts = self.request.attempts();
        node.replicas().choose(
            now,
            &service.name,
            service.engine.as_ref(),
            &head.needs,
            attempts.tried(),
            &versions,
        )
    }

    /// Gets the permit that a replica with a limit needs, which may be none; `None` if it gets nothing
    /// for a while.
    async fn acquire_permit(&self, replica: &BackendName) -> Option<Option<SendPermit>> {
        let ForwardedRequest { node, head, .. } = self.request;
        match permits::acquire(node, replica, self.request.time_until_deadline()).await {
            Ok(permit) => Some(permit),
            Err(wait) => {
                let (id, replica) = (head.id.as_str(), replica.as_str());
                let retry_in_ms = wait.as_millis();
                record(&FleetEvent::PermitDenied { id, replica, retry_in_ms });
                None
            }
        }
    }

    /// Waits for the turn of a long prompt, and checks again whether the request may be sent.
    async fn prepare(
        &self,
        replica: BackendName,
        permit: Option<SendPermit>,
    ) -> Result<FoundReplica, LocalResponse> {
        let ForwardedRequest { node, head, .. } = self.request;
        let key = head.needs.key.as_ref();
        let adapter_use = key.map(|key| AdapterUse::new(node, &replica, key));
        let turn = turns::acquire(node, &replica, &head.needs).await;
        self.check_quarantine()?;
        Ok(FoundReplica { replica, adapter_use, turn, permit })
    }

    /// Refuses the request if a part of its prompt is quarantined.
    fn check_quarantine(&self) -> Result<(), LocalResponse> {
        let ForwardedRequest { node, head, is_probe, .. } = self.request;
        if *is_probe {
            return Ok(());
        }
        match prompt_quarantine::check(node, node.now(), &head.id, head.needs.shared_parts()) {
            QuarantineCheck::Free | QuarantineCheck::Probe => Ok(()),
            QuarantineCheck::Refused(left) => Err(self.request.not_yet(left)),
        }
    }

    async fn wait_for_replica(&mut self) -> Result<(), LocalResponse> {
        let left = self.request.time_until_deadline();
        let pause = self.wait_budget.charge_replica_wait(left);
        sleep(pause.ok_or_else(|| self.request.response_without_replicas())?).await;
        Ok(())
    }

    /// Waits for the end of a pause that all replicas asked for, or refuses the request at once if
    /// that takes too long.
    async fn wait_for_pause(
        &mut self,
        left: Duration,
        may_wait: bool,
    ) -> Result<(), LocalResponse> {
        let until_deadline = self.request.time_until_deadline();
        if may_wait && self.wait_budget.charge_pause(left, until_deadline) {
            sleep(left).await;
            return Ok(());
        }
        Err(self.request.not_yet(left))
    }

    async fn wait_for_load(&mut self, targets: &[BackendName]) -> Result<(), LocalResponse> {
        let ForwardedRequest { node, head, .. } = self.request;
        let started = node.now();
        let limit = self.wait_budget.load_wait_limit(self.request.time_until_deadline());
        let limit = limit.ok_or_else(|| self.request.final_response())?;
        let Some(key) = &head.needs.key else { return Ok(()) };
        // Prompts with the same prefix go to the same home, since it has read that prefix before.
        let shared = head.needs.shared_prefix();
        let pick = shared.unwrap_or_else(|| xxh3_64(head.id.as_bytes()));
        let outcome =
            loads::load_at_any(node, key, targets, limit, pick, head.needs.prompt_tokens).await;
        if let LoadOutcome::NoOrdersFor { wait, all_known } = outcome {
            let wait = self.wait_budget.orders_wait(wait, all_known);
            if wait > limit {
                return Err(self.request.not_yet(wait));
            }
            sleep(wait).await;
        }
        let waited = node.now().since(started);
        sleep(self.wait_budget.charge_load_wait(waited)).await;
        node.metrics.on_load_wait(waited);
        if waited >= MIN_LOGGED_WAIT {
            let (id, adapter) = (head.id.as_str(), key.label());
            let (targets, waited_ms) = (targets.len(), waited.as_millis());
            record(&LogEvent::RequestWaited { id, adapter: &adapter, targets, waited_ms });
        }
        Ok(())
    }
}
