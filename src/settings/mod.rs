//! Settings of one entry instance, read from a JSON file.
//!
//! The whole file is checked before anything starts, and all faults are reported
//! together, each with its JSON path. Unknown keys are faults. Key files are read here too,
//! so a missing one is found at startup.

mod caller_keys;
mod fault;
mod key;
mod keys;
mod listen_addrs;
mod listener_limits;
mod platform_addrs;
mod section;
mod shutdown_settings;
mod telemetry_settings;

use std::fs;
use std::path::Path;

pub use caller_keys::CallerKeys;
pub use fault::Fault;
pub use key::Key;
pub use key::MIN_KEY_BYTES;
pub use keys::Keys;
pub use listen_addrs::ListenAddrs;
pub use listener_limits::ListenerLimits;
pub use platform_addrs::PlatformAddrs;
use section::Section;
pub use shutdown_settings::ShutdownSettings;
pub use telemetry_settings::LogLevel;
pub use telemetry_settings::TelemetrySettings;

use crate::names::DataCentre;
use crate::names::InstanceName;

/// Settings of one entry instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance; unique in the fleet (`instance`).
    pub instance: InstanceName,
    /// Data centre that it runs in (`data_centre`).
    pub data_centre: DataCentre,
    /// Addresses of its listeners (`listen`).
    pub listen: ListenAddrs,
    /// Addresses of the platform's services (`platform`).
    pub platform: PlatformAddrs,
    /// Signing keys, and bearer keys of callers and operators (`keys`).
    pub keys: Keys,
    /// Limits on the requests that listeners accept (`limits`).
    pub limits: ListenerLimits,
    /// Destinations of logs, metrics and traces (`telemetry`).
    pub telemetry: TelemetrySettings,
    /// Limit on a graceful shutdown (`shutdown`).
    pub shutdown: ShutdownSettings,
}

impl Settings {
    /// Reads and checks a settings file; relative paths of key files start at its directory.
    ///
    /// # Errors
    ///
    /// All faults, in the order in which the sections are checked.
    pub fn load(path: &Path) -> Result<Self, Vec<Fault>> {
        let text = fs::read_to_string(path)
            .map_err(|e| vec![Fault::new("$", format!("{} can't be read: {e}", path.display()))])?;
        let base = path.parent().unwrap_or(Path::new("."));
        Self::parse(&text, base)
    }

    /// Checks settings given as text; relative paths of key files start at `base`.
    ///
    /// # Errors
    ///
    /// All faults, in the order in which the sections are checked.
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
        let instance = section.required_name("instance");
        let data_centre = section.required_name("data_centre");
        let listen = section.required_section("listen").and_then(ListenAddrs::read);
        let platform = section.required_section("platform").and_then(PlatformAddrs::read);
        let keys = section.required_section("keys").and_then(|keys| Keys::read(keys, base));
        let limits = ListenerLimits::read(section.section_or_empty("limits"));
        let telemetry = TelemetrySettings::read(section.section_or_empty("telemetry"));
        let shutdown = ShutdownSettings::read(section.section_or_empty("shutdown"));
        if let (Some(listen), Some(keys)) = (&listen, &keys)
            && listen.operator.is_some()
            && keys.operators.is_none()
        {
            section.fault("keys.operators", "required, because listen.operator is set");
        }
        section.report_unknown_keys();
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
