//! One process that the lab started.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// One process; it's ended when this is dropped.
#[derive(Debug)]
pub struct Process {
    /// Name for people.
    pub name: String,
    program: std::path::PathBuf,
    args: Vec<String>,
    child: Child,
}

impl Process {
    /// Starts a program.
    ///
    /// # Errors
    ///
    /// A sentence that says why it can't be started.
    pub fn start(name: &str, program: &Path, args: Vec<String>) -> Result<Self, String> {
        let child = Self::spawn(program, &args)?;
        Ok(Self { name: name.to_owned(), program: program.to_owned(), args, child })
    }

    /// Starts the same program with the same arguments again, after it has ended.
    ///
    /// # Errors
    ///
    /// A sentence that says why it can't be started.
    pub fn restart(&mut self) -> Result<(), String> {
        self.kill();
        self.child = Self::spawn(&self.program, &self.args)?;
        Ok(())
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        // A process that has ended already is as wanted.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        // A process that has ended already gets no signal.
        let _ = kill(pid, signal);
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Errors
    ///
    /// A sentence if the system can't tell.
    pub fn wait(&mut self) -> Result<ExitStatus, String> {
        self.child.wait().map_err(|e| e.to_string())
    }

    /// Whether the process has ended.
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
        // A stopped process ends at SIGKILL as well.
        self.kill();
    }
}

/// First port that the lab hands out; below the range of outgoing connections.
const FIRST_PORT: u32 = 20_000;
/// How many ports the lab hands out before it begins again.
const PORT_COUNT: u32 = 12_000;
/// Distance between the first ports of two processes with neighbouring ids; more
/// than a test program uses.
const PROCESS_STRIDE: u32 = 300;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// An address on loopback that was free a moment ago, and isn't handed out twice.
///
/// # Errors
///
/// A sentence if no port is free.
pub fn free_addr() -> Result<SocketAddr, String> {
    let first = std::process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORT_COUNT {
        let offset = first.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::SeqCst)) % PORT_COUNT;
        let addr = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + offset) as u16));
        if TcpListener::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err("no port on loopback is free".to_owned())
}
