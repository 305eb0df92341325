//! The settings file, which may be replaced while the process runs.

use std::path::Path;
use std::path::PathBuf;

use super::RelaySettings;
use super::SettingFault;
use super::log_event::record;
use super::process_event::ProcessEvent;
use super::settings_reader::SettingsReader;
use crate::error::Error;
use crate::error::Result;

/// A settings file and the text that was read from it last.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// `None` until it is read for the first time.
    reader: Option<SettingsReader>,
    text: String,
}

/// Why there are no settings.
#[derive(Debug)]
pub enum SettingsFailure {
    /// The file, or a thread that reads it, isn't there.
    Unreadable(Error),
    /// The file's text is no valid settings.
    Invalid(Error),
}

impl SettingsFile {
    /// The file at `path`, which is not read yet.
    pub fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), reader: None, text: String::new() }
    }

    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// The file can't be read, or its settings are invalid.
    pub async fn read(&mut self) -> std::result::Result<RelaySettings, SettingsFailure> {
        self.text = self.read_text().await.map_err(SettingsFailure::Unreadable)?;
        parse(&self.text).map_err(SettingsFailure::Invalid)
    }

    async fn read_text(&mut self) -> Result<String> {
        let reader = match &mut self.reader {
            Some(reader) => reader,
            None => match SettingsReader::start(&self.path) {
                Ok(reader) => self.reader.insert(reader),
                // Without a thread, what can't block is read by this one.
                Err(_) if self.path.is_file() => return RelaySettings::read_text(&self.path),
                Err(e) => return Err(e),
            },
        };
        reader.read().await
    }

    /// The settings, if the file has changed since it was read last; invalid ones are logged once.
    /// May be dropped and called again.
    pub async fn changed(&mut self) -> Option<RelaySettings> {
        let read = self.read_text().await;
        let text = read.map_err(|e| log_refused(&e.to_string())).ok()?;
        if text == self.text {
            return None;
        }
        let parsed = parse(&text);
        self.text = text;
        parsed.map_err(|e| log_refused(&e.to_string())).ok()
    }
}

/// Parses settings, and logs values that aren't used as they stand.
fn parse(text: &str) -> Result<RelaySettings> {
    let (settings, faults) = RelaySettings::parse_usable(text)?;
    for SettingFault { name, detail } in &faults {
        record(&ProcessEvent::SettingUnusable { name, detail });
    }
    Ok(settings)
}

fn log_refused(detail: &str) {
    record(&ProcessEvent::SettingsRefused { detail });
}
