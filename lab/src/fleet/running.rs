//! Starts a fleet of real processes, publishes its configuration and waits until it's ready.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tamaracklead::decide::config::Snapshot;
use tamaracklead::edge::HttpCall;
use tamaracklead::names::BackendName;
use tamaracklead::names::Generation;
use tamaracklead::names::InstanceName;
use tamaracklead::names::PageName;
use tamaracklead::names::PresetName;
use tamaracklead::wire::engine::EngineReport;
use tamaracklead::wire::listing::BackendRole;
use tamaracklead::wire::listing::FencingMode;
use tamaracklead::wire::listing::ListedBackend;
use tamaracklead::wire::listing::ListedEntry;
use tamaracklead::wire::listing::ListedState;
use tamaracklead::wire::listing::Listing;
use tamaracklead::wire::operator::Status;
use tamaracklead::wire::published::PageRef;
use tamaracklead::wire::published::Root;

use super::FleetPlan;
use super::LabClient;
use super::Process;
use super::process::free_addr;

/// Timeout of each wait for processes to be ready or up to date.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Attempts to start a fleet.
const START_ATTEMPTS: usize = 3;
/// Interval between polls of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Operators' key of every fleet of the lab.
pub const OPERATOR_KEY: &str = "lab-operator-key-0123456789";

/// A running entry instance.
#[derive(Debug)]
pub struct EntryInstance {
    /// Name of the entry instance.
    pub name: String,
    /// Address of the callers' API.
    pub addr: SocketAddr,
    /// Address that peers send to.
    pub peer_addr: SocketAddr,
    /// Address of the operators' API.
    pub operator_addr: SocketAddr,
    /// The process.
    pub process: Process,
}

/// A running stand-in.
#[derive(Debug)]
pub struct StandInProcess {
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// The process.
    pub process: Process,
}

/// A running fleet; its processes are killed and its settings removed on drop.
#[derive(Debug)]
pub struct Fleet {
    /// Sizes and settings.
    pub plan: FleetPlan,
    /// Entry instances.
    pub entries: Vec<EntryInstance>,
    /// Stand-in for the configuration service.
    pub config: StandInProcess,
    /// Stand-in for the platform's instance list.
    pub instances: StandInProcess,
    /// Stand-in for the weight store.
    pub store: StandInProcess,
    /// Stand-ins for the engines, in the order of the listing.
    pub engines: Vec<StandInProcess>,
    /// Stand-ins for the desks, in the order of the listing.
    pub desks: Vec<StandInProcess>,
    /// HTTP client.
    pub client: LabClient,
    /// Content of the instance list; changes take effect with [`Self::publish_listing`].
    pub listing: Listing,
    dir: PathBuf,
}

impl Fleet {
    /// Starts every process, publishes generation 1 and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// What failed in the last of several attempts.
    pub async fn start(bin_dir: &Path, plan: FleetPlan) -> Result<Self, String> {
        // Another process may take a port between the check that it's free and its use.
        for _ in 1..START_ATTEMPTS {
            if let Ok(fleet) = Self::start_once(bin_dir, plan.clone()).await {
                return Ok(fleet);
            }
        }
        Self::start_once(bin_dir, plan).await
    }

    async fn start_once(bin_dir: &Path, plan: FleetPlan) -> Result<Self, String> {
        let lab = bin_dir.join("lab");
        let config = stand_in(&lab, "config", "config", &[])?;
        let instances = stand_in(&lab, "instances", "instances", &[])?;
        let store = stand_in(&lab, "store", "store", &[("rate", plan.store_rate.to_string())])?;
        let mut engines = Vec::new();
        for number in 1..=plan.engines {
            engines.push(start_engine(&lab, &plan, number, store.addr)?);
        }
        let mut desks = Vec::new();
        for number in 1..=plan.desks {
            let delay = [("delay-ms", plan.desk_delay_ms.to_string())];
            desks.push(stand_in(&lab, "desk", &format!("desk-{number}"), &delay)?);
        }
        let dir =
            std::env::temp_dir().join(format!("lab-{}-{}", std::process::id(), config.addr.port()));
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let mut fleet = Self {
            plan,
            entries: Vec::new(),
            config,
            instances,
            store,
            engines,
            desks,
            client: LabClient::default(),
            listing: Listing::default(),
            dir,
        };
        for number in 1..=fleet.plan.entries {
            let entry = fleet.start_entry(bin_dir, number)?;
            fleet.entries.push(entry);
        }
        fleet.wait_for_stand_ins().await?;
        fleet.listing = fleet.full_listing();
        fleet.publish_listing().await?;
        fleet.publish(Generation(1), "ordinary").await?;
        fleet.wait_until_ready().await?;
        fleet.check_all_running()?;
        Ok(fleet)
    }

    /// Fails if a process has exited, as it does if its port is taken.
    fn check_all_running(&mut self) -> Result<(), String> {
        let platform = [&mut self.config, &mut self.instances, &mut self.store];
        let backends = self.engines.iter_mut().chain(&mut self.desks);
        let stand_ins = platform.into_iter().chain(backends).map(|stand_in| &mut stand_in.process);
        let entries = self.entries.iter_mut().map(|entry| &mut entry.process);
        match stand_ins.chain(entries).find_map(|process| process.has_ended().then_some(process)) {
            Some(process) => Err(format!("{} exited while the fleet was starting", process.name)),
            None => Ok(()),
        }
    }

    /// Publishes a generation with this active preset; returns before it takes effect.
    ///
    /// # Errors
    ///
    /// Why the stand-in didn't take it.
    pub async fn publish(&self, generation: Generation, preset: &str) -> Result<(), String> {
        let page = serde_json::to_vec(&self.plan.page()).map_err(|e| e.to_string())?;
        let root = Root {
            generation,
            preset: PresetName::new(preset),
            presets: self.plan.presets(),
            pages: vec![PageRef { name: PageName::new("all"), hash: Snapshot::hash(&page) }],
        };
        self.client.put(self.config.addr, "/lab/pages/all", Bytes::from(page)).await?;
        self.client.put_json(self.config.addr, "/lab/root", &root).await
    }

    /// Publishes [`Self::listing`] as the instance list.
    ///
    /// # Errors
    ///
    /// Why the stand-in didn't take it.
    pub async fn publish_listing(&self) -> Result<(), String> {
        self.client.put_json(self.instances.addr, "/lab/instances", &self.listing).await
    }

    /// Writes the operators' key to a file, which is removed with the fleet.
    ///
    /// # Errors
    ///
    /// Why the file can't be written.
    pub fn operator_key_file(&self) -> Result<PathBuf, String> {
        let path = self.dir.join("operators.key");
        fs::write(&path, OPERATOR_KEY).map_err(|e| e.to_string())?;
        Ok(path)
    }

    /// Reads the status of the entry instance with this index.
    ///
    /// # Errors
    ///
    /// Why the status can't be read.
    pub async fn status(&self, entry: usize) -> Result<Status, String> {
        let call = HttpCall::get(self.entries[entry].operator_addr, "/operator/v1/status")
            .header("authorization", format!("Bearer {OPERATOR_KEY}"));
        let reply = self.client.send(call).await?;
        let body = reply.read_body().await.map_err(|failure| failure.detail)?;
        serde_json::from_slice(&body).map_err(|e| e.to_string())
    }

    /// Waits until every running entry instance has this or a later generation in effect.
    ///
    /// # Errors
    ///
    /// The first entry instance that is behind at the timeout.
    pub async fn wait_for_generation(&mut self, generation: Generation) -> Result<(), String> {
        let until = Instant::now() + READY_TIMEOUT;
        for entry in 0..self.entries.len() {
            if self.entries[entry].process.has_ended() {
                continue;
            }
            while self.status(entry).await.ok().and_then(|s| s.generation) < Some(generation) {
                if Instant::now() > until {
                    return Err(format!("{} is behind {generation}", self.entries[entry].name));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn wait_for_stand_ins(&mut self) -> Result<(), String> {
        let platform = [&self.config, &self.instances, &self.store];
        let backends = self.engines.iter().chain(&self.desks);
        let stand_ins = platform.into_iter().chain(backends);
        let addrs: Vec<SocketAddr> = stand_ins.map(|stand_in| stand_in.addr).collect();
        for addr in addrs {
            let until = Instant::now() + READY_TIMEOUT;
            while self.client.send(HttpCall::get(addr, "/lab/x")).await.is_err() {
                self.check_all_running()?;
                if Instant::now() > until {
                    return Err(format!("stand-in at {addr} doesn't answer after its start"));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until every entry instance is ready, has a generation and sees all peers live.
    ///
    /// # Errors
    ///
    /// The first entry instance that isn't ready at the timeout, with its status.
    pub async fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + READY_TIMEOUT;
        let peers = self.entries.len() - 1;
        for entry in 0..self.entries.len() {
            loop {
                let status = self.status(entry).await;
                let has_view = status
                    .as_ref()
                    .is_ok_and(|s| s.generation.is_some() && s.live_peers.len() >= peers);
                if has_view && self.is_ready(entry).await {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("{} is not ready: {status:?}", self.entries[entry].name));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits, without a timeout, until the first engine runs a request: a stream has begun then.
    ///
    /// # Errors
    ///
    /// Why the engine's report can't be read.
    pub async fn wait_until_running(&self) -> Result<(), String> {
        loop {
            let report: EngineReport = self.client.get(self.engines[0].addr, "/v1/running").await?;
            if report.loaded.iter().any(|loaded| loaded.running > 0) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether the entry instance with this index reports that it's ready.
    pub async fn is_ready(&self, entry: usize) -> bool {
        let call = HttpCall::get(self.entries[entry].addr, "/v1/ready");
        self.client.send(call).await.is_ok_and(|reply| reply.status.is_success())
    }

    fn start_entry(&self, bin_dir: &Path, number: usize) -> Result<EntryInstance, String> {
        let name = format!("entry-{number}");
        let addr = free_addr()?;
        let peer_addr = free_addr()?;
        let operator_addr = free_addr()?;
        let settings = serde_json::json!({
            "instance": name,
            "data_centre": self.plan.data_centre(number - 1),
            "listen": { "caller": addr, "peer": peer_addr, "operator": operator_addr },
            "platform": { "configuration": self.config.addr, "instances": self.instances.addr },
            "keys": {
                "peers": { "value": "lab-peer-key-0123456789abcdef" },
                "tickets": { "value": "lab-ticket-key-0123456789abcdef" },
                "operators": { "value": OPERATOR_KEY },
            },
        });
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).map_err(|e| e.to_string())?;
        let args = vec![path.to_string_lossy().into_owned()];
        let process = Process::start(&name, &bin_dir.join("tamarackleadd"), args)?;
        Ok(EntryInstance { name, addr, peer_addr, operator_addr, process })
    }

    fn full_listing(&self) -> Listing {
        let entries = self.entries.iter().enumerate().map(|(number, entry)| ListedEntry {
            name: InstanceName::new(&entry.name),
            peer_addr: entry.peer_addr,
            data_centre: self.plan.data_centre(number),
            state: ListedState::Live,
        });
        let engine_role = BackendRole::Engine {
            model: self.plan.model.clone(),
            slots: self.plan.slots,
            batch: self.plan.batch,
            fencing: self.plan.fencing,
        };
        let engines = self.listed(&self.engines, &engine_role);
        let desks = self.listed(&self.desks, &BackendRole::Desk);
        Listing { entries: entries.collect(), backends: engines.chain(desks).collect() }
    }

    fn listed<'a>(
        &'a self,
        stand_ins: &'a [StandInProcess],
        role: &'a BackendRole,
    ) -> impl Iterator<Item = ListedBackend> + 'a {
        stand_ins.iter().enumerate().map(move |(number, stand_in)| ListedBackend {
            name: BackendName::new(&stand_in.process.name),
            addr: stand_in.addr,
            data_centre: self.plan.data_centre(number),
            incarnation: None,
            state: ListedState::Live,
            role: role.clone(),
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Leftover settings in the temporary directory are harmless.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn start_engine(
    lab: &Path,
    plan: &FleetPlan,
    number: usize,
    store: SocketAddr,
) -> Result<StandInProcess, String> {
    let mut args = vec![
        ("store", store.to_string()),
        ("slots", plan.slots.to_string()),
        ("batch", plan.batch.to_string()),
        ("token-ms", plan.token_ms.to_string()),
    ];
    if plan.fencing == FencingMode::Ignore {
        args.push(("ignore-fencing", String::new()));
    }
    stand_in(lab, "engine", &format!("engine-{number}"), &args)
}

fn stand_in(
    lab: &Path,
    kind: &str,
    name: &str,
    options: &[(&str, String)],
) -> Result<StandInProcess, String> {
    let addr = free_addr()?;
    let mut args = vec!["stand-in".to_owned(), kind.to_owned()];
    args.extend(["--listen".to_owned(), addr.to_string()]);
    for (option, value) in options {
        args.push(format!("--{option}"));
        if !value.is_empty() {
            args.push(value.clone());
        }
    }
    Ok(StandInProcess { addr, process: Process::start(name, lab, args)? })
}
