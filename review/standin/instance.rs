//! Processes of the project's program, with settings like those of a small deployment.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use crate::http;

pub struct Instance {
    pub name: String,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    metrics: SocketAddr,
    store: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Addresses on which nothing listens, below the ports that the system gives to clients.
pub fn free_addrs(count: usize) -> Vec<SocketAddr> {
    const FIRST_PORT: u32 = 11_000;
    const PORTS: u32 = 20_000;
    let start = std::process::id().wrapping_mul(97) % PORTS;
    let ports = (0..PORTS).map(|place| (FIRST_PORT + (start + place) % PORTS) as u16);
    let addrs = ports.map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    addrs.filter(|addr| TcpListener::bind(addr).is_ok()).take(count).collect()
}

/// Prepares `count` instances, of which the first three are the seeds.
pub fn prepare(count: usize, store: SocketAddr, dir: &Path) -> Vec<Instance> {
    let addrs = free_addrs(count * 4);
    let prepare = |(index, addrs): (usize, &[SocketAddr])| {
        let name = format!("front-cairo-a-{}", index + 1);
        let settings = dir.join(format!("{name}.json"));
        let log = dir.join(format!("{name}.log"));
        let (caller, ready, peer, metrics) = (addrs[0], addrs[1], addrs[2], addrs[3]);
        Instance { name, caller, ready, peer, metrics, store, settings, log, child: None }
    };
    let instances: Vec<Instance> = addrs.chunks(4).enumerate().map(prepare).collect();
    let seeds: Vec<SocketAddr> = instances.iter().take(3).map(|i| i.peer).collect();
    instances.iter().for_each(|instance| instance.write_settings(&seeds));
    instances
}

impl Instance {
    /// Writes the settings file as deploy/settings.json.template renders it for a small deployment.
    pub fn write_settings(&self, seeds: &[SocketAddr]) {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(",");
        let Self { name, caller, ready, peer, metrics, store, .. } = self;
        let text = format!(
            "{{\"instance\":\"{name}\",\"data_centre\":\"cairo-a\",\"listen\":{{\
             \"caller\":\"{caller}\",\"ready\":\"{ready}\",\"peer\":\"{peer}\",\
             \"metrics\":\"{metrics}\"}},\"seeds\":[{seeds}],\"published\":\"{store}\",\
             \"order_lease_ms\":3000,\"shutdown_limit_s\":8,\"retry_ratio\":0.2,\
             \"retry_allowance\":58,\"retry_window_s\":10,\"config_propagation_ms\":2000,\
             \"link_mbps\":1000.0}}"
        );
        fs::write(&self.settings, text).unwrap();
    }

    /// Starts the program by the run line of the deploy file.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new("target/release/tamaracklead-platform");
        command.arg(&self.settings).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        // SAFETY: a plain system call between fork and exec.
        unsafe { command.pre_exec(http::end_with_parent) };
        match command.spawn() {
            Ok(child) => self.child = Some(child),
            Err(e) => {
                eprintln!("the program can't be started: {e}");
                std::process::exit(2);
            }
        }
    }

    /// Sends SIGKILL, and waits until the process has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the instance says that it is ready.
    pub fn is_ready(&self) -> bool {
        crate::client::get(self.ready, "/api/ready", &[]).is_some_and(|answer| answer.status == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
