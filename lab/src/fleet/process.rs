//! Child processes of the lab and the ports that they listen on.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// Interval between checks whether a paused process has stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A child process, killed on drop.
#[derive(Debug)]
pub struct Process {
    /// Name for messages and listings.
    pub name: String,
    program: std::path::PathBuf,
    args: Vec<String>,
    child: Child,
}

impl Process {
    /// Starts a program; its standard error is dropped unless `LAB_SHOW_LOGS` is set.
    ///
    /// # Errors
    ///
    /// Why the program can't be started.
    pub fn start(name: &str, program: &Path, args: Vec<String>) -> Result<Self, String> {
        let child = Self::spawn(program, &args)?;
        Ok(Self { name: name.to_owned(), program: program.to_owned(), args, child })
    }

    /// Kills the process if it still runs and starts it again with the same arguments.
    ///
    /// # Errors
    ///
    /// Why the program can't be started.
    pub fn restart(&mut self) -> Result<(), String> {
        self.kill();
        self.child = Self::spawn(&self.program, &self.args)?;
        Ok(())
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        // Fails if the process has exited already, which is the wanted state.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        // Fails only if the process has exited already.
        let _ = kill(pid, signal);
    }

    /// Pauses the process with SIGSTOP; returns once all of its threads have stopped, which takes
    /// a while on a busy machine.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub async fn pause(&self) -> Result<(), String> {
        self.signal(Signal::SIGSTOP);
        while !self.is_stopped()? {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn is_stopped(&self) -> Result<bool, String> {
        let threads = format!("/proc/{}/task", self.child.id());
        let ended = |e: std::io::Error| format!("{} has ended: {e}", self.name);
        for thread in std::fs::read_dir(&threads).map_err(ended)? {
            let stat = thread.map_err(ended)?.path().join("stat");
            // A thread that is listed but gone meanwhile no longer runs.
            let Ok(text) = std::fs::read_to_string(stat) else { continue };
            let state = text.rsplit_once(") ").and_then(|(_, fields)| fields.chars().next());
            if !matches!(state, Some('T' | 't' | 'Z' | 'X')) {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// Why its exit status can't be read.
    pub fn wait(&mut self) -> Result<ExitStatus, String> {
        self.child.wait().map_err(|e| e.to_string())
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)) | Err(_))
    }

    fn spawn(program: &Path, args: &[String]) -> Result<Child, String> {
        let stderr = match std::env::var_os("LAB_SHOW_LOGS") {
            Some(_) => Stdio::inherit(),
            None => Stdio::null(),
        };
        Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr)
            .spawn()
            .map_err(|e| format!("{}: {e}; build the whole workspace first", program.display()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a process that SIGSTOP has paused.
        self.kill();
    }
}

/// First port that the lab assigns; below the ephemeral range of outgoing connections.
const FIRST_PORT: u32 = 20_000;
/// Number of ports that the lab assigns before it starts over.
const PORT_COUNT: u32 = 12_000;
/// Distance between the first ports of lab processes with consecutive process ids; more
/// than one test program uses.
const PROCESS_STRIDE: u32 = 300;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// A loopback address that was free just now; assigned once in each round of the range.
///
/// # Errors
///
/// That no port of the range is free.
pub fn free_addr() -> Result<SocketAddr, String> {
    let first = std::process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORT_COUNT {
        let offset = first.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::SeqCst)) % PORT_COUNT;
        let addr = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + offset) as u16));
        if TcpListener::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err("no loopback port in the lab's range is free".to_owned())
}
