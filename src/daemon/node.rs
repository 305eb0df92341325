//! Shared state of an entry instance, and the dispatch of its requests to handlers.
//!
//! [`Node::serve`] authenticates each request, routes it by listener and path,
//! and signs the replies to peers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::runtime::Handle;

use super::CallerRoute;
use super::Clock;
use super::ListenerKind;
use super::access::Access;
use super::clients::Clients;
use super::completions;
use super::control;
use super::dispatches;
use super::engine_shards::EngineShards;
use super::explain::ExplainLog;
use super::in_flight::InFlight;
use super::leases;
use super::leases::Leases;
use super::operator_api;
use super::outcomes;
use super::quarantine;
use super::quarantine::Quarantine;
use super::submissions;
use super::submissions::Submissions;
use crate::decide::backends::Backends;
use crate::decide::config::ConfigSync;
use crate::decide::config::Snapshot;
use crate::decide::drain::Drain;
use crate::decide::drain::DrainInput;
use crate::decide::drain::Progress;
use crate::decide::drain::WorkKind;
use crate::decide::fleet::FleetView;
use crate::decide::membership::Identity;
use crate::decide::membership::Member;
use crate::decide::membership::Membership;
use crate::decide::ownership::Candidate;
use crate::decide::ownership::Claimant;
use crate::decide::ownership::GroupId;
use crate::edge::PeerPath;
use crate::edge::Reply;
use crate::edge::Request;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::BackendName;
use crate::names::Incarnation;
use crate::names::InstanceName;
use crate::names::RequestId;
use crate::names::Timestamp;
use crate::settings::Settings;
use crate::telemetry::Metrics;
use crate::telemetry::Tracer;
use crate::wire::caller::TICKET_HEADER;
use crate::wire::frame;
use crate::wire::listing::ListedBackend;
use crate::wire::peer::ExplainRequest;
use crate::wire::peer::Hello;

/// State that all handlers and background tasks of an entry instance share.
#[derive(Debug)]
pub struct Node {
    /// Settings, with the addresses that the listeners were bound to.
    pub settings: Settings,
    /// Random number that tells this process from earlier ones of the same name.
    pub incarnation: Incarnation,
    /// Source of all timestamps in this process.
    pub clock: Clock,
    /// Clients of the platform's services, backend servers and peers.
    pub clients: Clients,
    /// Work in progress, which a graceful shutdown waits for.
    pub in_flight: InFlight,
    /// Counters, timings and gauges.
    pub metrics: Metrics,
    /// Sends trace spans.
    pub tracer: Tracer,
    /// Submissions whose tickets this process issued.
    pub submissions: Submissions,
    /// Shards of the engines that this instance owns.
    pub engines: EngineShards,
    access: Access,
    /// Leases of engine groups, held and granted.
    pub leases: Leases,
    /// Strikes and run permits of requests that crash engines.
    pub quarantine: Quarantine,
    fleet: RwLock<FleetView>,
    explain: Mutex<ExplainLog>,
    drain: Mutex<Drain>,
    caller_requests: AtomicU64,
}

impl Node {
    /// An instance without configuration or known members; `runtime` runs the sending of traces.
    ///
    /// # Errors
    ///
    /// `Internal` if the system gives no random numbers or telemetry can't start.
    pub fn new(settings: Settings, runtime: &Handle) -> Result<Arc<Self>> {
        let metrics = Metrics::start(&settings.instance, settings.telemetry.statsd)?;
        let tracer = Tracer::start(&settings, runtime.clone())?;
        let access = Access::new(&settings);
        let incarnation = Incarnation(random_u64()?);
        let clients = Clients::new(&settings);
        let claimant = Claimant { name: settings.instance.clone(), incarnation };
        let submissions = Submissions::new(settings.instance.clone(), incarnation);
        let clock = Clock::start();
        let identity = Identity {
            name: settings.instance.clone(),
            peer_addr: settings.listen.peer_addr(),
            data_centre: settings.data_centre.clone(),
            incarnation,
        };
        let fleet = FleetView::new(clock.now(), identity, random_u64()?);
        let explain = Mutex::new(ExplainLog::new(settings.instance.clone()));
        Ok(Arc::new(Self {
            settings,
            incarnation,
            clock,
            clients,
            in_flight: InFlight::default(),
            metrics,
            tracer,
            submissions,
            engines: EngineShards::default(),
            access,
            leases: Leases::new(claimant),
            quarantine: Quarantine::default(),
            fleet: RwLock::new(fleet),
            explain,
            drain: Mutex::default(),
            caller_requests: AtomicU64::new(0),
        }))
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.drain(|drain| drain.is_draining())
    }

    /// Reads the state of the shutdown under its lock.
    pub fn drain<T>(&self, read: impl FnOnce(&Drain) -> T) -> T {
        read(&self.drain.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies an event to the shutdown.
    pub fn drain_input(&self, input: DrainInput) {
        let now = self.now();
        self.drain.lock().unwrap_or_else(PoisonError::into_inner).on_input(now, input);
    }

    /// Work in progress, and the number of caller requests since the start.
    pub fn progress(&self) -> Progress {
        Progress {
            in_progress: self.in_flight.count(),
            caller_requests: self.caller_requests.load(Ordering::SeqCst),
        }
    }

    /// Checks that this kind of work is accepted, which depends on whether the instance drains.
    ///
    /// # Errors
    ///
    /// `Draining` if it isn't.
    pub fn check_accepts(&self, work: WorkKind) -> Result<()> {
        if self.drain(|drain| drain.accepts(work)) {
            return Ok(());
        }
        let detail = format!("instance {:?} is shutting down", self.settings.instance.as_str());
        Err(Error::new(ErrorKind::Draining, detail))
    }

    /// Checks that the instance can serve completions.
    ///
    /// # Errors
    ///
    /// `NotReady` without a configuration or backend servers, `Draining` while shutting down.
    pub fn check_ready(&self) -> Result<()> {
        self.check_accepts(WorkKind::Completion)?;
        self.snapshot()?;
        if self.backends(Backends::is_empty) {
            return Err(Error::new(ErrorKind::NotReady, "no backend server is listed yet"));
        }
        Ok(())
    }

    /// The configuration in effect.
    ///
    /// # Errors
    ///
    /// `NotReady` until the peers and the configuration service have been asked, at the start and
    /// after a pause of the process.
    pub fn snapshot(&self) -> Result<Arc<Snapshot>> {
        let now = self.now();
        self.fleet(|fleet| fleet.snapshot(now)).ok_or_else(|| {
            let detail =
                "waiting for the configuration from the peers and the configuration service";
            Error::new(ErrorKind::NotReady, detail)
        })
    }

    /// Reads members, configuration and backend servers under their lock.
    pub fn fleet<T>(&self, read: impl FnOnce(&FleetView) -> T) -> T {
        read(&self.fleet.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes members, configuration and backend servers under their lock.
    pub fn fleet_mut<T>(&self, change: impl FnOnce(&mut FleetView) -> T) -> T {
        change(&mut self.fleet.write().unwrap_or_else(PoisonError::into_inner))
    }

    /// Reads the state of the configuration.
    pub fn config<T>(&self, read: impl FnOnce(&ConfigSync) -> T) -> T {
        self.fleet(|fleet| read(fleet.config()))
    }

    /// Reads what is known of the other instances.
    pub fn membership<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        self.fleet(|fleet| read(fleet.membership()))
    }

    /// Reads what is known of the backend servers.
    pub fn backends<T>(&self, read: impl FnOnce(&Backends) -> T) -> T {
        self.fleet(|fleet| read(fleet.backends()))
    }

    /// Checks that a backend server may get new work; called immediately before each dispatch.
    ///
    /// # Errors
    ///
    /// `NoBackend` if it is leaving, or if this instance has yet to hear from its peers, also
    /// after a pause of the process.
    pub fn check_dispatch(&self, name: &BackendName) -> Result<()> {
        let now = self.now();
        if self.fleet(|fleet| fleet.may_dispatch(now, name)) {
            return Ok(());
        }
        let detail = format!("backend server {:?} gets no new work", name.as_str());
        Err(Error::new(ErrorKind::NoBackend, detail))
    }

    /// Log of the decisions about recent requests; the guard must not be held across an await.
    pub fn explain(&self) -> MutexGuard<'_, ExplainLog> {
        self.explain.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs a decision about a request, for operators to query.
    pub fn note(&self, id: RequestId, text: impl Into<String>) {
        self.explain().note(self.now(), id, text.into());
    }

    /// Random identifier for a new request.
    ///
    /// # Errors
    ///
    /// `Internal` if the system gives no random numbers.
    pub fn new_request_id(&self) -> Result<RequestId> {
        let high = u128::from(random_u64()?) << 64;
        Ok(RequestId(high | u128::from(random_u64()?)))
    }

    /// Preferred owner of an engine among the live candidates; `None` without one, or if it isn't
    /// an engine.
    pub fn owner_of(&self, engine: &ListedBackend) -> Option<InstanceName> {
        GroupId::of(engine)?.preferred_owner(&self.live_candidates())
    }

    /// Instances that may own engines: the live ones, with this one unless it drains.
    pub fn live_candidates(&self) -> Vec<Candidate> {
        let now = self.now();
        let mut candidates: Vec<Candidate> =
            self.membership(|membership| membership.live(now).map(candidate).collect());
        if !self.is_draining() {
            candidates.push(self.own_candidate());
        }
        candidates
    }

    /// All listed instances and this one, whether live or not.
    pub fn listed_candidates(&self) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = self.membership(|membership| {
            membership.all().filter(|member| member.listed).map(candidate).collect()
        });
        candidates.push(self.own_candidate());
        candidates
    }

    fn own_candidate(&self) -> Candidate {
        Candidate {
            name: self.settings.instance.clone(),
            data_centre: self.settings.data_centre.clone(),
        }
    }

    /// This instance's name, incarnation and state, for readiness checks and peers.
    pub fn hello(&self) -> Hello {
        Hello {
            name: self.settings.instance.clone(),
            incarnation: self.incarnation,
            generation: self.config(ConfigSync::generation),
            draining: self.is_draining(),
        }
    }

    fn serve_hello(&self, req: &Request) -> Result<Reply> {
        let _: Hello = frame::decode(&req.body)?;
        Ok(Reply::msgpack(&self.hello()))
    }

    /// Authenticates, routes and answers one request.
    pub async fn serve(self: Arc<Self>, listener_kind: ListenerKind, req: Request) -> Reply {
        let ticketed = req.header(TICKET_HEADER).is_some();
        // Only the issuer of a ticket can prove that its submission didn't run, so no error
        // raised here may claim it.
        let adjust_error = |error: Error| if ticketed { error.may_have_run() } else { error };
        let signature = match self.access.check(listener_kind, &req, &self.metrics) {
            Ok(signature) => signature,
            Err(error) => return Reply::from(adjust_error(error)),
        };
        let result = match listener_kind {
            ListenerKind::Caller => Arc::clone(&self).serve_caller(req).await,
            ListenerKind::Peer => Arc::clone(&self).serve_peer(req).await,
            ListenerKind::Operator => operator_api::serve(&self, &req).await,
        };
        let reply = result.map_err(adjust_error).unwrap_or_else(Reply::from);
        let reply = match &signature {
            Some(request_signature) => self.access.sign(request_signature, reply),
            None => reply,
        };
        if self.is_draining() { reply.header("connection", "close") } else { reply }
    }

    async fn serve_caller(self: Arc<Self>, req: Request) -> Result<Reply> {
        self.caller_requests.fetch_add(1, Ordering::SeqCst);
        let route = CallerRoute::of(&req.method, &req.path).ok_or_else(|| no_such_path(&req))?;
        match route {
            CallerRoute::Complete => completions::complete(self, req).await,
            CallerRoute::IssueTicket => submissions::issue_ticket(&self),
            CallerRoute::Submit => submissions::submit(&self, &req).await,
            CallerRoute::Outcome => outcomes::serve(&self, &req).await,
            CallerRoute::Ready => self.check_ready().map(|()| Reply::json(200, &self.hello())),
        }
    }

    async fn serve_peer(self: Arc<Self>, req: Request) -> Result<Reply> {
        match PeerPath::parse(&req.path) {
            Some(PeerPath::Dispatch) => dispatches::serve(&self, &req),
            Some(PeerPath::Submit) => submissions::serve_forwarded(&self, &req).await,
            Some(PeerPath::Lease) => leases::serve(&self, &req),
            Some(PeerPath::Hello) => self.serve_hello(&req),
            Some(PeerPath::Gossip) => control::serve_gossip(&self, &req),
            Some(PeerPath::Config) => control::serve_config(&self, &req),
            Some(PeerPath::Quarantine) => quarantine::serve(&self, &req).await,
            Some(PeerPath::Status) => Ok(Reply::msgpack(&operator_api::status(&self))),
            Some(PeerPath::Explain) => {
                let explain_request: ExplainRequest = frame::decode(&req.body)?;
                let reply = operator_api::own_explanation(&self, explain_request.request_id)?;
                Ok(Reply::msgpack(&reply))
            }
            Some(PeerPath::Outcome) => outcomes::serve_forwarded(&self, &req),
            None => Err(no_such_path(&req)),
        }
    }
}

fn candidate(member: &Member) -> Candidate {
    Candidate { name: member.name.clone(), data_centre: member.data_centre.clone() }
}

/// Error for a method and path without a route.
pub fn no_such_path(req: &Request) -> Error {
    Error::new(ErrorKind::NotFound, format!("no {} {}", req.method, req.path))
}

fn random_u64() -> Result<u64> {
    getrandom::u64().map_err(|e| {
        Error::new(ErrorKind::Internal, format!("the system gives no random numbers: {e}"))
    })
}
