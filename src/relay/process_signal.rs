//! Signals on which the process acts.

use std::io;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// To shut down: SIGTERM or SIGINT.
    Terminate,
    /// To read the settings file again: SIGHUP.
    Reload,
}

/// Handlers of these signals. A signal that arrives before they exist ends the process.
#[derive(Debug)]
pub struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
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
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal; one that came before counts.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Terminate,
            _ = self.interrupt.recv() => ProcessSignal::Terminate,
            _ = self.reload.recv() => ProcessSignal::Reload,
        }
    }
    /// Waits for a signal that asks for the end of the process, and passes over the others.
    pub async fn until_terminated(&mut self) {
        while self.next().await != ProcessSignal::Terminate {}
    }
}
