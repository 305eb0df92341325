//! Starts the system's program as a process of its own, with settings as the deploy file's template
//! renders them, and ends it.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::http;

/// First port that is given out; below the range from which connections get theirs, so that a listener
/// that ends and starts again finds its port free.
const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 20_000;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// An address on loopback that is free now, and that this process gives out once.
pub fn free_addr() -> SocketAddr {
    let own_start = std::process::id().wrapping_mul(97);
    for _ in 0..PORT_COUNT {
        let offset = own_start.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::SeqCst)) % PORT_COUNT;
        let addr = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + offset) as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
    panic!("no port on loopback is free");
}

/// One entry instance.
pub struct Program {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Program {
    /// Writes the settings of an instance that isn't running yet. The figures are those of the small
    /// sites (`DEPLOY.md`, settings of a process).
    pub fn new(
        dir: &Path,
        name: &str,
        store: SocketAddr,
        peer: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let (front, ready, metrics) = (free_addr(), free_addr(), free_addr());
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "{{\n  \"instance\": \"{name}\",\n  \"data_centre\": \"cairo-a\",\n  \"listen\": {{\n    \
             \"caller\": \"{front}\",\n    \"ready\": \"{ready}\",\n    \"peer\": \"{peer}\",\n    \
             \"metrics\": \"{metrics}\"\n  }},\n  \"seeds\": [{}],\n  \"published\": \"{store}\",\n  \
             \"published_history_s\": 20,\n  \"order_lease_ms\": 3000,\n  \"shutdown_limit_s\": 8,\n  \
             \"retry_ratio\": 0.2,\n  \"retry_allowance\": 58,\n  \"retry_window_s\": 10,\n  \
             \"config_propagation_ms\": 2000,\n  \"link_mbps\": 1000.0\n}}\n",
            seeds.join(",")
        );
        let settings = dir.join(format!("{name}.json"));
        fs::write(&settings, text).expect("settings");
        let binary = PathBuf::from("target/release/tamaracklead-platform");
        let log = dir.join(format!("{name}.log"));
        Self { name: name.to_owned(), front, ready, binary, settings, log, child: None }
    }

    pub fn start(&mut self) -> bool {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let out = log.map_or_else(|_| Stdio::null(), Stdio::from);
        let mut command = Command::new(&self.binary);
        command.arg(&self.settings).stdout(out).stderr(Stdio::null());
        // The process ends with the stand-in, whatever ends that.
        unsafe { command.pre_exec(end_with_parent) };
        self.child = command.spawn().ok();
        self.child.is_some()
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// SIGKILL; waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        http::get(self.ready, "/api/ready", Duration::from_millis(500))
            .is_some_and(|(s, _)| s == 200)
    }

    /// A value of `/proc/PID/status` in MiB, such as `VmHWM`.
    pub fn memory_mib(&self, field: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(field)).unwrap_or("");
        let digits: String = line.chars().filter(char::is_ascii_digit).collect();
        digits.parse::<u64>().unwrap_or(0) / 1024
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

fn end_with_parent() -> io::Result<()> {
    extern "C" {
        fn prctl(option: i32, value: u64, unused_3: u64, unused_4: u64, unused_5: u64) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}
