//! Settings of one entry instance, read from a JSON file.
//!
//! The whole file is checked before anything starts, and every fault is
//! reported at once by its JSON path. Unknown keys are faults. Keys for
//! signatures are read here too, so a missing key file shows at the start.

mod caller_keys;
mod fault;
mod key;
mod keys;
mod limits;
mod listen;
mod platform;
mod section;
mod shutdown;
mod telemetry;

use std::fs;
use std::path::Path;

pub use caller_keys::CallerKeys;
pub use fault::Fault;
pub use key::Key;
pub use key::MIN_KEY_BYTES;
pub use keys::Keys;
pub use limits::Limits;
pub use listen::Listen;
pub use platform::Platform;
use section::Section;
pub use shutdown::Shutdown;
pub use telemetry::LogLevel;
pub use telemetry::Telemetry;

use crate::names::DataCentre;
use crate::names::InstanceName;

/// Settings of one entry instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance; unique in the fleet.
    pub instance: InstanceName,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Keys for signatures and callers.
    pub keys: Keys,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Logs, metrics and traces.
    pub telemetry: Telemetry,
    /// How the process ends.
    pub shutdown: Shutdown,
}

impl Settings {
    /// Reads and checks a settings file; relative key paths are relative to the file.
    ///
    /// # Errors
    ///
    /// Every fault found, in the order of the file's sections.
    pub fn load(path: &Path) -> Result<Self, Vec<Fault>> {
        let text = fs::read_to_string(path)
            .map_err(|e| vec![Fault::new("$", format!("{} can't be read: {e}", path.display()))])?;
        let base = path.parent().unwrap_or(Path::new("."));
        Self::parse(&text, base)
    }

    /// Checks settings given as text; relative key paths are relative to `base`.
    ///
    /// # Errors
    ///
    /// Every fault found, in the order of the sections.
    pub fn parse(text: &str, base: &Path) -> Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        let settings =
            Section::root(text, &mut faults).and_then(|section| Self::read(section, base));
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }

    fn read(mut section: Section<'_>, base: &Path) -> Option<Self> {
        let instance = section.name("instance");
        let data_centre = section.name("data_centre");
        let listen = section.required_section("listen").and_then(Listen::read);
        let platform = section.required_section("platform").and_then(Platform::read);
        let keys = section.required_section("keys").and_then(|keys| Keys::read(keys, base));
        let limits = Limits::read(section.optional_section("limits"));
        let telemetry = Telemetry::read(section.optional_section("telemetry"));
        let shutdown = Shutdown::read(section.optional_section("shutdown"));
        if let (Some(listen), Some(keys)) = (&listen, &keys)
            && listen.operator.is_some()
            && keys.operators.is_none()
        {
            section.fault("keys.operators", "required, because listen.operator is set");
        }
        section.finish();
        Some(Self {
            instance: InstanceName::new(&instance?),
            data_centre: DataCentre::new(&data_centre?),
            listen: listen?,
            platform: platform?,
            keys: keys?,
            limits,
            telemetry,
            shutdown,
        })
    }
}
