//! Reads the settings file on a thread of its own.
//!
//! A read can block without an end: of a FIFO, or on a file system that hangs. Nothing else of the process
//! waits for it, and the process may end meanwhile.

use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::timeout;

use super::RelaySettings;
use super::log_event::record;
use super::process_event::ProcessEvent;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;

/// Time after which a read that hasn't ended is logged.
const SLOW_READ_TIME: Duration = Duration::from_secs(2);

/// Thread that reads a settings file whenever it is asked to; it ends with its owner or the process.
#[derive(Debug)]
pub struct SettingsReader {
    requests: mpsc::Sender<()>,
    texts: UnboundedReceiver<Result<String>>,
    /// Whether a read was asked for and has not ended; at most one is.
    is_pending: bool,
}

impl SettingsReader {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// `Internal` if the system has no thread.
    pub fn start(path: &Path) -> Result<Self> {
        let (requests, asked) = mpsc::channel();
        let (tx, texts) = unbounded_channel();
        let path = path.to_owned();
        let thread = thread::Builder::new().name("settings".to_owned());
        thread.spawn(move || read_when_asked(&path, &asked, &tx)).map_err(|e| {
            Error::new(ErrorKind::Internal, format!("no thread that reads the settings: {e}"))
        })?;
        Ok(Self { requests, texts, is_pending: false })
    }

    /// Reads the text of the file. If the future is dropped, the read goes on, and the next call returns
    /// what it reads.
    ///
    /// # Errors
    ///
    /// `Malformed` if the file can't be read, `Internal` if the thread has ended.
    pub async fn read(&mut self) -> Result<String> {
        if !self.is_pending {
            self.requests.send(()).map_err(|_| thread_ended())?;
            self.is_pending = true;
        }
        let read = match timeout(SLOW_READ_TIME, self.texts.recv()).await {
            Ok(read) => read,
            Err(_) => {
                let after_ms = SLOW_READ_TIME.as_millis();
                record(&ProcessEvent::SettingsBlocked { after_ms });
                self.texts.recv().await
            }
        };
        self.is_pending = false;
        read.ok_or_else(thread_ended)?
    }
}

fn thread_ended() -> Error {
    Error::new(ErrorKind::Internal, "the thread that reads the settings has ended")
}

fn read_when_asked(
    path: &Path,
    asked: &mpsc::Receiver<()>,
    texts: &UnboundedSender<Result<String>>,
) {
    while asked.recv().is_ok() {
        if texts.send(RelaySettings::read_text(path)).is_err() {
            return;
        }
    }
}
