//! The permits that this instance grants, and those that it gets from others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::CountingInstance;
use super::SendPermit;
use super::SendTarget;
use super::UnresponsivePeers;
use super::permit::Grantor;
use crate::daemon::Clock;
use crate::decide::send_limits::LimitNews;
use crate::decide::send_limits::PermitId;
use crate::decide::send_limits::SendCounter;
use crate::decide::send_limits::Verdict;
use crate::edge::HttpClient;
use crate::edge::call_peer;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::BackendName;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::send_permit::PERMIT_END_PATH;
use crate::wire::send_permit::PERMIT_PATH;
use crate::wire::send_permit::PermitEnd;
use crate::wire::send_permit::PermitReply;
use crate::wire::send_permit::PermitRequest;

/// Timeout of an ask for a permit.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of the notice that a request has ended.
const END_TIMEOUT: Duration = Duration::from_millis(600);

/// Verdict on a send to a replica that limits rejections while the counting instance doesn't answer.
const UNCOUNTED: Verdict = Verdict::Denied(Duration::from_millis(250));

type Counters = HashMap<BackendName, SendCounter>;

/// Permits of one instance.
#[derive(Debug)]
pub struct SendPermits {
    me: InstanceName,
    http: HttpClient,
    clock: Clock,
    serial: AtomicU64,
    /// Counts the sends of all instances.
    counters: Mutex<Counters>,
    /// Counts the sends of this instance from its own share.
    own_shares: Mutex<Counters>,
    unresponsive: UnresponsivePeers,
}

impl SendPermits {
    /// No permits yet; `first_serial` is above those of earlier processes of this name.
    pub fn new(me: InstanceName, http: HttpClient, clock: Clock, first_serial: u64) -> Self {
        Self {
            me,
            http,
            clock,
            serial: AtomicU64::new(first_serial),
            counters: Mutex::default(),
            own_shares: Mutex::default(),
            unresponsive: UnresponsivePeers::default(),
        }
    }

    /// Asks for a permit to send one request.
    ///
    /// # Errors
    ///
    /// The time before which asking again is useless, if there is none.
    pub async fn acquire(
        self: &Arc<Self>,
        counting: &CountingInstance,
        target: &SendTarget,
    ) -> std::result::Result<SendPermit, Duration> {
        let id =
            PermitId { user: self.me.clone(), serial: self.serial.fetch_add(1, Ordering::Relaxed) };
        let now = self.clock.now();
        let (verdict, grantor) = match counting {
            CountingInstance::Own => (self.count(now, &id, target), Grantor::Own),
            CountingInstance::Peer(name, addr) => {
                match self.ask_peer(now, name, *addr, &id, target).await {
                    Some(verdict) => {
                        self.drain_own_share(&target.limits.replica);
                        (verdict, Grantor::Peer(*addr))
                    }
                    None if target.limits_rejections() => (UNCOUNTED, Grantor::OwnShare),
                    None => (self.ask_own_share(&id, target), Grantor::OwnShare),
                }
            }
            CountingInstance::Unknown => (self.ask_own_share(&id, target), Grantor::OwnShare),
        };
        match verdict {
            Verdict::Granted => {
                let replica = target.limits.replica.clone();
                let tells_end = target.limits.limits.max_rejections.is_some();
                Ok(SendPermit::new(self, replica, id, grantor, tells_end))
            }
            Verdict::Denied(wait) => Err(wait),
        }
    }

    /// Answers another instance that asks; `target` is what is known of the replica here.
    pub fn answer(&self, request: &PermitRequest, target: &SendTarget) -> PermitReply {
        let now = self.clock.now();
        let denied_for_ms = match self.count(now, &request.id, target) {
            Verdict::Granted => None,
            Verdict::Denied(wait) => Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
        };
        PermitReply { denied_for_ms }
    }

    /// Whether the counting instance may make a call of a replica's control interface.
    pub fn allows_control_call(&self, now: Timestamp, target: &SendTarget) -> bool {
        let LimitNews { replica, started_ms, limits, .. } = &target.limits;
        let mut counters = lock(&self.counters);
        let counter = counter_of(&mut counters, replica, *started_ms);
        let limits = limits.part(target.fleet.counted_share());
        counter.ask_for_control(now, limits, target.slots) == Verdict::Granted
    }

    /// Records that a request has ended for which this instance granted a permit.
    pub fn on_end(&self, end: &PermitEnd) {
        end_in(self.clock.now(), &mut lock(&self.counters), end);
    }

    /// Ends the permits of instances for which `is_there` is false.
    pub fn retain_users(&self, is_there: impl Fn(&InstanceName) -> bool) {
        for counter in lock(&self.counters).values_mut() {
            counter.retain_users(&is_there);
        }
    }

    /// Drops the counters of replicas for which `is_known` is false.
    pub fn retain_replicas(&self, is_known: impl Fn(&BackendName) -> bool) {
        lock(&self.counters).retain(|replica, _| is_known(replica));
        lock(&self.own_shares).retain(|replica, _| is_known(replica));
    }

    /// Forgets what was allowed: this process was paused, and others may have counted meanwhile.
    pub fn on_pause(&self, now: Timestamp) {
        for counters in [&self.counters, &self.own_shares] {
            lock(counters).values_mut().for_each(|counter| counter.on_pause(now));
        }
    }

    /// Tells the grantor of a permit that its request has ended, without waiting for the call.
    pub(super) fn tell_end(self: &Arc<Self>, grantor: &Grantor, end: PermitEnd) {
        let addr = match grantor {
            Grantor::Own => return self.on_end(&end),
            Grantor::OwnShare => {
                return end_in(self.clock.now(), &mut lock(&self.own_shares), &end);
            }
            Grantor::Peer(addr) => *addr,
        };
        let permits = Arc::clone(self);
        tokio::spawn(async move {
            let sent: Result<()> =
                call_peer(&permits.http, addr, PERMIT_END_PATH, &end, END_TIMEOUT).await;
            if let Err(e) = sent {
                log::debug!("end of a permit not reported to {addr}, where it expires: {e}");
            }
        });
    }

    /// Asks the counting instance; `None` if it doesn't reply.
    async fn ask_peer(
        &self,
        now: Timestamp,
        name: &InstanceName,
        addr: SocketAddr,
        id: &PermitId,
        target: &SendTarget,
    ) -> Option<Verdict> {
        if self.unresponsive.contains(now, name) {
            return None;
        }
        let request = PermitRequest {
            id: id.clone(),
            limits: target.limits.clone(),
            slots: target.slots,
            running: target.running,
            expires_ms: u64::try_from(target.expires_in.as_millis()).unwrap_or(u64::MAX),
        };
        let reply: Result<PermitReply> =
            call_peer(&self.http, addr, PERMIT_PATH, &request, ASK_TIMEOUT).await;
        match reply {
            Ok(PermitReply { denied_for_ms: None }) => Some(Verdict::Granted),
            Ok(PermitReply { denied_for_ms: Some(ms) }) => {
                Some(Verdict::Denied(Duration::from_millis(ms)))
            }
            // A process of before this message; nobody counts the sends to its replicas.
            Err(e) if e.kind == ErrorKind::NotFound => Some(self.ask_own_share(id, target)),
            Err(e) => {
                log::warn!("no permit from {name} for {}: {e}", target.limits.replica);
                self.unresponsive.add(self.clock.now(), name);
                None
            }
        }
    }

    fn count(&self, now: Timestamp, id: &PermitId, target: &SendTarget) -> Verdict {
        ask(now, &self.counters, id, target, target.fleet.counted_share())
    }

    fn ask_own_share(&self, id: &PermitId, target: &SendTarget) -> Verdict {
        ask(self.clock.now(), &self.own_shares, id, target, target.fleet.own_share())
    }

    /// Takes what this instance could send by itself, since the counting instance answers.
    fn drain_own_share(&self, replica: &BackendName) {
        if let Some(share) = lock(&self.own_shares).get_mut(replica) {
            share.on_pause(self.clock.now());
        }
    }
}

fn ask(
    now: Timestamp,
    counters: &Mutex<Counters>,
    id: &PermitId,
    target: &SendTarget,
    share: f64,
) -> Verdict {
    let mut counters = lock(counters);
    let counter = counter_of(&mut counters, &target.limits.replica, target.limits.started_ms);
    counter.ask(now, &target.ask(id, share))
}

/// The counter of a replica, a new one after the replica has restarted.
fn counter_of<'a>(
    counters: &'a mut Counters,
    replica: &BackendName,
    started_ms: u64,
) -> &'a mut SendCounter {
    let new = || SendCounter::new(started_ms);
    let counter = counters.entry(replica.clone()).or_insert_with(new);
    if counter.is_outdated(started_ms) {
        *counter = new();
    }
    counter
}

fn end_in(now: Timestamp, counters: &mut Counters, end: &PermitEnd) {
    if let Some(counter) = counters.get_mut(&end.replica) {
        counter.end(now, &end.id, end.was_rejected);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
