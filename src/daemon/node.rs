//! State of one entry instance, and the routes to its work.

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
use super::Surface;
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

/// One entry instance.
#[derive(Debug)]
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Clock of this process.
    pub clock: Clock,
    /// Clients of everything outside.
    pub clients: Clients,
    /// Work in progress.
    pub in_flight: InFlight,
    /// Counters and timings.
    pub metrics: Metrics,
    /// Traces.
    pub tracer: Tracer,
    /// Submissions whose tickets this process issued.
    pub submissions: Submissions,
    /// Engines that this instance works for.
    pub engines: EngineShards,
    access: Access,
    /// Leases of engine groups.
    pub leases: Leases,
    /// Requests that crash engines.
    pub quarantine: Quarantine,
    fleet: RwLock<FleetView>,
    explain: Mutex<ExplainLog>,
    drain: Mutex<Drain>,
    caller_requests: AtomicU64,
}

impl Node {
    /// An instance that knows nothing yet; traces are sent on `runtime`.
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

    /// The present time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Whether the instance is shutting down.
    pub fn is_draining(&self) -> bool {
        self.drain(|drain| drain.is_draining())
    }

    /// Reads the shutdown's state.
    pub fn drain<T>(&self, read: impl FnOnce(&Drain) -> T) -> T {
        read(&self.drain.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes an event of the shutdown.
    pub fn drain_input(&self, input: DrainInput) {
        let now = self.now();
        self.drain.lock().unwrap_or_else(PoisonError::into_inner).on_input(now, input);
    }

    /// What is in progress now.
    pub fn progress(&self) -> Progress {
        Progress {
            in_progress: self.in_flight.count(),
            caller_requests: self.caller_requests.load(Ordering::SeqCst),
        }
    }

    /// Refuses work that a draining instance doesn't take.
    ///
    /// # Errors
    ///
    /// `Draining`.
    pub fn check_takes(&self, work: WorkKind) -> Result<()> {
        if self.drain(|drain| drain.accepts(work)) {
            return Ok(());
        }
        let detail = format!("instance {:?} is shutting down", self.settings.instance.as_str());
        Err(Error::new(ErrorKind::Draining, detail))
    }

    /// Refuses while the instance can't serve yet, or is shutting down.
    ///
    /// # Errors
    ///
    /// `NotReady` or `Draining`.
    pub fn check_ready(&self) -> Result<()> {
        self.check_takes(WorkKind::Completion)?;
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
    /// `NotReady` before the peers and the service were asked, also after a pause of the process.
    pub fn snapshot(&self) -> Result<Arc<Snapshot>> {
        let now = self.now();
        self.fleet(|fleet| fleet.snapshot(now)).ok_or_else(|| {
            let detail = "the peers and the configuration service are being asked";
            Error::new(ErrorKind::NotReady, detail)
        })
    }

    /// Reads what is known of the fleet.
    pub fn fleet<T>(&self, read: impl FnOnce(&FleetView) -> T) -> T {
        read(&self.fleet.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes what is known of the fleet.
    pub fn fleet_mut<T>(&self, change: impl FnOnce(&mut FleetView) -> T) -> T {
        change(&mut self.fleet.write().unwrap_or_else(PoisonError::into_inner))
    }

    /// Reads the configuration's state.
    pub fn config<T>(&self, read: impl FnOnce(&ConfigSync) -> T) -> T {
        self.fleet(|fleet| read(fleet.config()))
    }

    /// Reads the membership.
    pub fn membership<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        self.fleet(|fleet| read(fleet.membership()))
    }

    /// Reads the backend servers.
    pub fn backends<T>(&self, read: impl FnOnce(&Backends) -> T) -> T {
        self.fleet(|fleet| read(fleet.backends()))
    }

    /// Refuses work for a backend server that leaves; asked immediately before each dispatch.
    ///
    /// # Errors
    ///
    /// `NoBackend`.
    pub fn check_dispatch(&self, name: &BackendName) -> Result<()> {
        let now = self.now();
        if self.fleet(|fleet| fleet.may_dispatch(now, name)) {
            return Ok(());
        }
        let detail = format!("backend server {:?} gets no new work", name.as_str());
        Err(Error::new(ErrorKind::NoBackend, detail))
    }

    /// The decisions about recent requests.
    pub fn explain(&self) -> MutexGuard<'_, ExplainLog> {
        self.explain.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a decision about a request to what operators can ask for.
    pub fn note(&self, id: RequestId, text: impl Into<String>) {
        self.explain().note(self.now(), id, text.into());
    }

    /// Draws an identifier for a request.
    ///
    /// # Errors
    ///
    /// `Internal` if the system gives no random numbers.
    pub fn new_request_id(&self) -> Result<RequestId> {
        let high = u128::from(random_u64()?) << 64;
        Ok(RequestId(high | u128::from(random_u64()?)))
    }

    /// The instance that should own an engine, as seen from here.
    pub fn owner_of(&self, engine: &ListedBackend) -> Option<InstanceName> {
        GroupId::of(engine)?.preferred_owner(&self.live_candidates())
    }

    /// Instances that may own engines, as seen from here.
    pub fn live_candidates(&self) -> Vec<Candidate> {
        let now = self.now();
        let mut candidates: Vec<Candidate> =
            self.membership(|membership| membership.live(now).map(candidate).collect());
        if !self.is_draining() {
            candidates.push(self.own_candidate());
        }
        candidates
    }

    /// Every listed instance and this one, whether they answer or not.
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

    /// What this instance says of itself.
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

    /// Answers one request.
    pub async fn serve(self: Arc<Self>, surface: Surface, req: Request) -> Reply {
        let ticketed = req.header(TICKET_HEADER).is_some();
        // Only the issuer of a ticket proves that its submission did not run.
        let tell = |error: Error| if ticketed { error.may_have_run() } else { error };
        let signature = match self.access.check(surface, &req, &self.metrics) {
            Ok(signature) => signature,
            Err(error) => return Reply::from(tell(error)),
        };
        let answer = match surface {
            Surface::Caller => Arc::clone(&self).serve_caller(req).await,
            Surface::Peer => Arc::clone(&self).serve_peer(req).await,
            Surface::Operator => operator_api::serve(&self, &req).await,
        };
        let reply = answer.map_err(tell).unwrap_or_else(Reply::from);
        let reply = match &signature {
            Some(request) => self.access.sign(request, reply),
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
                let question: ExplainRequest = frame::decode(&req.body)?;
                let answer = operator_api::own_explanation(&self, question.request_id)?;
                Ok(Reply::msgpack(&answer))
            }
            Some(PeerPath::Outcome) => outcomes::serve_forwarded(&self, &req),
            None => Err(no_such_path(&req)),
        }
    }
}

fn candidate(member: &Member) -> Candidate {
    Candidate { name: member.name.clone(), data_centre: member.data_centre.clone() }
}

/// The answer to a path that doesn't exist.
pub fn no_such_path(req: &Request) -> Error {
    Error::new(ErrorKind::NotFound, format!("no {} {}", req.method, req.path))
}

fn random_u64() -> Result<u64> {
    getrandom::u64().map_err(|e| Error::new(ErrorKind::Internal, format!("no random numbers: {e}")))
}
