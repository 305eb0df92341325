//! The settings file, which may be replaced while the process runs.

use std::path::Path;

use super::RelaySettings;
use super::log_event::record;
use super::process_event::ProcessEvent;
use super::settings_reader::SettingsReader;
use crate::error::Result;

/// A settings file and the text that was read from it last.
#[derive(Debug)]
pub struct SettingsFile {
    reader: SettingsReader,
    text: String,
}

impl SettingsFile {
    /// The file at `path`, which is not read yet.
    ///
    /// # Errors
    ///
    /// `Internal` if the system has no thread that reads it.
    pub fn new(path: &Path) -> Result<Self> {
        Ok(Self { reader: SettingsReader::start(path)?, text: String::new() })
    }

    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// `Malformed` if the file can't be read or its settings are invalid.
    pub async fn read(&mut self) -> Result<RelaySettings> {
        self.text = self.reader.read().await?;
        RelaySettings::parse(&self.text)
    }

    /// The settings, if the file has changed since it was read last; invalid ones are logged once.
    /// May be dropped and called again.
    pub async fn changed(&mut self) -> Option<RelaySettings> {
        let read = self.reader.read().await;
        let text = read.map_err(|e| log_refused(&e.to_string())).ok()?;
        if text == self.text {
            return None;
        }
        let parsed = RelaySettings::parse(&text);
        self.text = text;
        parsed.map_err(|e| log_refused(&e.to_string())).ok()
    }
}

fn log_refused(detail: &str) {
    record(&ProcessEvent::SettingsRefused { detail });
}
