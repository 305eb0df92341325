//! Signals on which the process acts.

use std::io;
use std::io::Write;

use nix::sys::signal::SigSet;
use nix::sys::signal::Signal as SystemSignal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Signals that ask for nothing here, and whose default is to end or stop the process: of limits on files
/// and processor time, where the system call or a later signal tells what matters; of timers and of input
/// and output, which nobody sets; of terminals; and those left to programs.
const UNUSED: [SystemSignal; 12] = [
    SystemSignal::SIGXFSZ,
    SystemSignal::SIGXCPU,
    SystemSignal::SIGALRM,
    SystemSignal::SIGVTALRM,
    SystemSignal::SIGPROF,
    SystemSignal::SIGIO,
    SystemSignal::SIGPWR,
    SystemSignal::SIGSTKFLT,
    SystemSignal::SIGUSR1,
    SystemSignal::SIGUSR2,
    SystemSignal::SIGTTIN,
    SystemSignal::SIGTTOU,
];
/// Signals that are handled, whatever a parent process has blocked.
const HANDLED: [SystemSignal; 4] =
    [SystemSignal::SIGTERM, SystemSignal::SIGINT, SystemSignal::SIGQUIT, SystemSignal::SIGHUP];

/// Blocks signals that ask for nothing, for this thread and all that it starts, and lets those through
/// that are handled.
pub fn block_others() {
    let blocked = SigSet::from_iter(UNUSED).thread_block();
    let unblocked = SigSet::from_iter(HANDLED).thread_unblock();
    if let Err(e) = blocked.and(unblocked) {
        let _ = writeln!(io::stderr(), "signals can't be blocked, continuing: {e}");
    }
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// To shut down: SIGTERM, SIGINT or SIGQUIT.
    Terminate,
    /// To read the settings file again: SIGHUP.
    Reload,
}

/// Handlers of these signals. A signal that arrives before they exist ends the process.
#[derive(Debug)]
pub struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    quit: Signal,
    reload: Signal,
}

impl ProcessSignals {
    /// Sets the handlers; must be called within a runtime.
    ///
    /// # Errors
    ///
    /// The system refuses a handler.
    pub fn set() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            quit: signal(SignalKind::quit())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal; one that came before counts.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Terminate,
            _ = self.interrupt.recv() => ProcessSignal::Terminate,
            _ = self.quit.recv() => ProcessSignal::Terminate,
            _ = self.reload.recv() => ProcessSignal::Reload,
        }
    }

    /// Waits for a signal that asks for the end of the process, and passes over the others.
    pub async fn until_terminated(&mut self) {
        while self.next().await != ProcessSignal::Terminate {}
    }
}
