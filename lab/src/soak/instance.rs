//! One process of the fleet, started again after each end as a platform does.

use std::fs;
use std::fs::OpenOptions;
use std::io;
use std::os::unix::net::UnixStream;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use tamaracklead_standin::STARTING;

use super::cpu_time::CpuTime;
use super::environment::Environment;
use super::settings::Addrs;

/// Time after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time between SIGTERM and SIGKILL.
pub const SHUTDOWN_LIMIT: Duration = Duration::from_secs(8);
/// Longest time that a program is being loaded, in which any SIGHUP ends it.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Lines of the log that a finding shows.
const TAIL_LINES: usize = 12;

/// Why a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// It was killed, or asked to end and did.
    Wanted,
    /// It was asked to end and did, with an error.
    WithError,
    /// It was asked to end, and killed as it didn't in time.
    Late,
    /// SIGHUP came while the program was being loaded.
    HangupWhileLoading,
    /// Nothing asked it to.
    ByItself,
}

/// The end of a process.
#[derive(Clone, Debug)]
pub struct End {
    /// When it was seen.
    pub at: Instant,
    /// Time since the start of the process.
    pub age: Duration,
    /// Exit status.
    pub status: ExitStatus,
    /// Why it ended.
    pub cause: EndCause,
    /// What surrounded it, and the last lines of its log.
    pub log_tail: String,
}

/// An instance and the process that runs it, if one does.
#[derive(Debug)]
pub struct Instance {
    /// Name in its settings.
    pub name: String,
    /// Where it listens.
    pub addrs: Addrs,
    /// Goes up by one before each end that is asked for and after each start.
    pub incarnation: Arc<AtomicU32>,
    /// Last start of a process.
    pub started_at: Option<Instant>,
    /// Number of starts.
    pub starts: usize,
    /// What surrounds the next process.
    pub environment: Environment,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// The other end of its log, if that is to stay open.
    log_end: Option<UnixStream>,
    child: Option<Child>,
    /// Length of the log when the process was started, in bytes.
    log_start: u64,
    start_at: Option<Instant>,
    /// Number of kills that keep it away.
    kills: usize,
    suspensions: usize,
    was_suspended: bool,
    is_killed: bool,
    terminated_at: Option<Instant>,
}

impl Instance {
    /// An instance that is started at this time; its files are in `dir`.
    pub fn new(
        name: String,
        addrs: Addrs,
        program: PathBuf,
        dir: &Path,
        start_at: Instant,
    ) -> Self {
        Self {
            settings: dir.join(format!("{name}.json")),
            log: dir.join(format!("{name}.log")),
            name,
            addrs,
            incarnation: Arc::default(),
            started_at: None,
            starts: 0,
            environment: Environment::generous(),
            log_end: None,
            program,
            child: None,
            log_start: 0,
            start_at: Some(start_at),
            kills: 0,
            suspensions: 0,
            was_suspended: false,
            is_killed: false,
            terminated_at: None,
        }
    }

    /// Replaces the settings file.
    ///
    /// # Errors
    ///
    /// It can't be written.
    pub fn write_settings(&self, text: &str) -> io::Result<()> {
        fs::write(&self.settings, text)
    }

    /// Has a process that runs read its settings again.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Kills the process and keeps it away until [`Self::bring_back`].
    pub fn kill(&mut self) {
        self.kills += 1;
        self.start_at = None;
        self.kill_now();
    }

    fn kill_now(&mut self) {
        self.is_killed = true;
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.signal(Signal::SIGKILL);
    }

    /// Ends one kill; the process is started again if it was the last.
    pub fn bring_back(&mut self, now: Instant) {
        self.kills -= 1;
        if self.kills == 0 {
            self.start_at = Some(now);
        }
    }

    /// Asks the process to end.
    pub fn terminate(&mut self, now: Instant) {
        if self.child.is_some() && self.terminated_at.is_none() {
            self.incarnation.fetch_add(1, Ordering::SeqCst);
            self.terminated_at = Some(now);
            self.signal(Signal::SIGTERM);
        }
    }

    /// Suspends the process until [`Self::resume`].
    pub fn suspend(&mut self) {
        self.suspensions += 1;
        self.was_suspended = true;
        self.signal(Signal::SIGSTOP);
    }

    /// Ends one suspension.
    pub fn resume(&mut self) {
        self.suspensions -= 1;
        if self.suspensions == 0 {
            self.signal(Signal::SIGCONT);
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // The child hasn't been waited for, so its id can't be another's; it may have ended.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Notices an end and starts the process when it is due.
    ///
    /// # Errors
    ///
    /// The program can't be started.
    pub fn tick(&mut self, now: Instant) -> Result<Option<End>, String> {
        let end = self.take_end(now)?;
        if end.is_some() && self.kills == 0 {
            self.start_at = Some(self.start_at.unwrap_or(now + RESTART_DELAY));
        }
        let is_overdue = |at| now.saturating_duration_since(at) >= SHUTDOWN_LIMIT;
        if !self.is_killed && self.terminated_at.is_some_and(is_overdue) {
            self.signal(Signal::SIGKILL);
        }
        if self.child.is_none() && self.start_at.is_some_and(|at| now >= at) {
            self.start(now).map_err(|e| format!("{}: {e}", self.program.display()))?;
        }
        Ok(end)
    }

    fn take_end(&mut self, now: Instant) -> Result<Option<End>, String> {
        let Some(child) = &mut self.child else { return Ok(None) };
        let Some(status) = child.try_wait().map_err(|e| e.to_string())? else { return Ok(None) };
        self.child = None;
        let age = self.started_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let cause = self.cause_of(status, age);
        let log_tail = format!("{:?}\n{}", self.environment, self.log_tail());
        Ok(Some(End { at: now, age, status, cause, log_tail }))
    }

    fn cause_of(&self, status: ExitStatus, age: Duration) -> EndCause {
        let signal = status.signal().and_then(|number| Signal::try_from(number).ok());
        match (signal, self.terminated_at) {
            (Some(Signal::SIGKILL), _) if self.is_killed => EndCause::Wanted,
            (Some(Signal::SIGKILL), Some(_)) if self.was_suspended => EndCause::Wanted,
            (Some(Signal::SIGKILL), Some(_)) => EndCause::Late,
            (Some(Signal::SIGTERM), Some(_)) => EndCause::Wanted,
            (Some(Signal::SIGHUP), _) if age < LOAD_TIME && self.own_log().is_empty() => {
                EndCause::HangupWhileLoading
            }
            (None, Some(_)) if status.success() => EndCause::Wanted,
            (None, Some(_)) => EndCause::WithError,
            _ => EndCause::ByItself,
        }
    }

    fn start(&mut self, now: Instant) -> io::Result<()> {
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        self.log_start = log.metadata()?.len();
        let _starting = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
        let (output, log_end) = self.environment.log_output(&self.log)?;
        self.log_end = log_end;
        let mut command = self.environment.command(&self.program, &self.settings);
        let child = command.stdin(Stdio::null()).stdout(output).stderr(log).spawn()?;
        self.child = Some(child);
        self.started_at = Some(now);
        self.starts += 1;
        self.start_at = None;
        self.is_killed = false;
        self.terminated_at = None;
        self.was_suspended = false;
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    /// Sends the process a signal.
    pub fn send(&self, signal: Signal) {
        self.signal(signal);
    }

    /// Whether a process runs that was started this long ago.
    pub fn has_run_for(&self, time: Duration, now: Instant) -> bool {
        let is_old = |at| now.saturating_duration_since(at) >= time;
        self.child.is_some() && self.started_at.is_some_and(is_old)
    }

    /// Processor time of the process; `None` without one.
    pub fn cpu_time(&self) -> Option<CpuTime> {
        CpuTime::of(self.child.as_ref()?.id())
    }

    /// Whether a process runs.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// What the present or last process has logged.
    fn own_log(&self) -> String {
        let bytes = fs::read(&self.log).unwrap_or_default();
        let start = (self.log_start as usize).min(bytes.len());
        String::from_utf8_lossy(&bytes[start..]).into_owned()
    }

    fn log_tail(&self) -> String {
        let text = self.own_log();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Fails if it has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
