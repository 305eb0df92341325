//! The process that runs a relay: signal handlers, runtime, settings.

use std::io;
use std::io::Write;
use std::panic;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::time::sleep;

use super::LostLineCount;
use super::Protocol;
use super::RelaySettings;
use super::large_stack;
use super::log_event::record;
use super::panic_log;
use super::process_event::ProcessEvent;
use super::process_signal;
use super::process_signal::ProcessSignals;
use super::run;
use super::settings_file::SettingsFailure;
use super::settings_file::SettingsFile;
use crate::daemon::Clock;
use crate::decide::start_wait::AfterFailure;
use crate::decide::start_wait::StartFailure;
use crate::decide::start_wait::StartWait;
use crate::error::Result;
use crate::names::Timestamp;

/// Time for which invalid settings are read again at the start; far longer than it takes to replace a
/// file.
const SETTINGS_WAIT: Duration = Duration::from_secs(2);

/// Delay after a first failure to set the process up.
const FIRST_SETUP_DELAY: Duration = Duration::from_millis(250);
/// Longest such delay.
const MAX_SETUP_DELAY: Duration = Duration::from_secs(4);

/// A process that handles signals and hasn't started its relay yet.
#[derive(Debug)]
pub struct Process {
    runtime: Runtime,
    signals: ProcessSignals,
}

impl Process {
    /// Sets the signal handlers; until then SIGHUP ends the process, so this comes first. Waits while the
    /// system has no descriptors for that, and says so on standard error.
    pub fn start() -> Self {
        process_signal::block_others();
        let mut delay = FIRST_SETUP_DELAY;
        loop {
            // The runtime panics where some descriptors are there and others aren't.
            match panic::catch_unwind(Self::new) {
                Ok(Ok(process)) => return process,
                Ok(Err(e)) => {
                    let _ = writeln!(io::stderr(), "the process can't be set up yet: {e}");
                }
                Err(_) => {}
            }
            thread::sleep(delay);
            delay = (delay * 2).min(MAX_SETUP_DELAY);
        }
    }

    fn new() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let signals = runtime.block_on(async { ProcessSignals::set() })?;
        Ok(Self { runtime, signals })
    }

    /// Runs a relay with the settings in `path` until it has shut down.
    ///
    /// # Errors
    ///
    /// `Malformed` if the settings stay invalid.
    pub fn run(
        self,
        path: &Path,
        protocol: Arc<dyn Protocol>,
        lost_lines: LostLineCount,
    ) -> Result<()> {
        let path = path.to_owned();
        large_stack::run(move || self.run_here(&path, protocol, lost_lines))
    }

    fn run_here(
        self,
        path: &Path,
        protocol: Arc<dyn Protocol>,
        lost_lines: LostLineCount,
    ) -> Result<()> {
        panic_log::start();
        let Self { runtime, mut signals } = self;
        let clock = Clock::start();
        let ended: Result<()> = runtime.block_on(async {
            let Some(read) = read_or_terminate(path, &mut signals).await else { return Ok(()) };
            let (settings, file) = read?;
            let settings_time = clock.now().since(Timestamp::ZERO);
            run::serve(settings, file, signals, protocol, lost_lines, settings_time).await;
            Ok(())
        });
        if let Err(e) = &ended {
            record(&ProcessEvent::StartFailed { detail: &e.to_string() });
        }
        ended
    }
}

/// Reads the settings; `None` if a signal asks for the end of the process first.
async fn read_or_terminate(
    path: &Path,
    signals: &mut ProcessSignals,
) -> Option<Result<(RelaySettings, SettingsFile)>> {
    tokio::select! {
        read = read_settings(path) => Some(read),
        // Once started, the process looks for changes of the file by itself.
        () = signals.until_terminated() => None,
    }
}

/// Reads the settings, again while the file isn't there or is being replaced.
async fn read_settings(path: &Path) -> Result<(RelaySettings, SettingsFile)> {
    let mut file = SettingsFile::new(path);
    let clock = Clock::start();
    let mut wait = StartWait::new(clock.now(), SETTINGS_WAIT);
    let mut is_logged = false;
    loop {
        let (failure, error) = match file.read().await {
            Ok(settings) => return Ok((settings, file)),
            Err(SettingsFailure::Unreadable(error)) => (StartFailure::NotThere, error),
            Err(SettingsFailure::Invalid(error)) => (StartFailure::Temporary, error),
        };
        match wait.on_failure(clock.now(), failure) {
            AfterFailure::GiveUp => return Err(error),
            AfterFailure::TryAgain(delay) => {
                if !is_logged {
                    is_logged = true;
                    record(&ProcessEvent::SettingsRefused { detail: &error.to_string() });
                }
                sleep(delay).await;
            }
        }
    }
}
