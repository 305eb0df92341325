//! The version of an adapter that a caller requests.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::names::Version;

const NEWEST: &str = "newest";

/// Requested version; in JSON a number or `"newest"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Value", try_from = "Value")]
pub enum VersionChoice {
    /// This version and no other.
    Exact(Version),
    /// The newest version in the configuration in effect.
    #[default]
    Newest,
}

impl From<VersionChoice> for Value {
    fn from(choice: VersionChoice) -> Self {
        match choice {
            VersionChoice::Exact(version) => Self::from(version.0),
            VersionChoice::Newest => Self::from(NEWEST),
        }
    }
}

impl TryFrom<Value> for VersionChoice {
    type Error = String;

    fn try_from(value: Value) -> Result<Self, Self::Error> {
        match &value {
            Value::String(text) if text == NEWEST => Ok(Self::Newest),
            other => other
                .as_u64()
                .map(|number| Self::Exact(Version(number)))
                .ok_or_else(|| format!("version {other} is neither a number nor \"{NEWEST}\"")),
        }
    }
}
