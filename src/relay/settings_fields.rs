//! Reads the values of a settings file one by one, and notes those that can't be used.

use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;

/// A value in the settings that isn't used as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// Name of the setting.
    pub name: String,
    /// What is wrong with it, and what is used in its place.
    pub detail: String,
}

/// Numbers that a setting may have.
#[derive(Clone, Copy, Debug)]
pub enum Bounds {
    /// Above 0, and at most this.
    Positive(f64),
    /// 0 or above.
    NotNegative,
}

impl Bounds {
    fn check(self, value: f64) -> std::result::Result<f64, String> {
        match self {
            Self::Positive(max) if value > 0.0 && value <= max => Ok(value),
            Self::Positive(f64::MAX) => Err(format!("must be above 0, found {value}")),
            Self::Positive(max) => Err(format!("must be above 0 and at most {max}, found {value}")),
            Self::NotNegative if value >= 0.0 && value.is_finite() => Ok(value),
            Self::NotNegative => Err(format!("must not be negative, found {value}")),
        }
    }
}

/// Values of a JSON object that haven't been read yet, and what was wrong with the others.
#[derive(Debug)]
pub struct SettingsFields {
    prefix: &'static str,
    values: Map<String, Value>,
    faults: Vec<SettingFault>,
}

impl SettingsFields {
    /// The values of an object; their names follow `prefix` in faults.
    ///
    /// # Errors
    ///
    /// `Malformed` if it isn't an object.
    pub fn new(prefix: &'static str, value: Value) -> Result<Self> {
        match value {
            Value::Object(values) => Ok(Self { prefix, values, faults: Vec::new() }),
            other => Err(malformed(&format!("{prefix}an object is needed, found {other}"))),
        }
    }

    /// A value without which there are no settings.
    ///
    /// # Errors
    ///
    /// `Malformed` if it isn't there or has the wrong type.
    pub fn needed<T: DeserializeOwned>(&mut self, name: &str) -> Result<T> {
        let value = self.take(name).ok_or_else(|| self.error(name, "is missing"))?;
        serde_json::from_value(value).map_err(|e| self.error(name, &e.to_string()))
    }

    /// A value that may be left out, but not be wrong.
    ///
    /// # Errors
    ///
    /// `Malformed` if it has the wrong type or isn't within the bounds.
    pub fn number_or_error(&mut self, name: &str, bounds: Bounds) -> Result<Option<f64>> {
        let Some(value) = self.take(name) else { return Ok(None) };
        let checked = as_number(&value).and_then(|number| bounds.check(number));
        checked.map(Some).map_err(|detail| self.error(name, &detail))
    }

    /// A number that is left out if it can't be used.
    pub fn number(&mut self, name: &str, bounds: Bounds) -> Option<f64> {
        let value = self.take(name)?;
        let checked = as_number(&value).and_then(|number| bounds.check(number));
        checked.map_err(|detail| self.note(name, detail)).ok()
    }

    /// A value that is left out if it can't be used.
    pub fn optional<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let value = self.take(name)?;
        serde_json::from_value(value).map_err(|e| self.note(name, e.to_string())).ok()
    }

    /// The entries of a list that can be used.
    pub fn list<T: DeserializeOwned>(&mut self, name: &str) -> Vec<T> {
        let entries: Vec<Value> = self.optional(name).unwrap_or_default();
        let read = |entry| {
            serde_json::from_value(entry)
                .map_err(|e| self.note(name, format!("an entry: {e}")))
                .ok()
        };
        entries.into_iter().filter_map(read).collect()
    }

    /// Notes that a value isn't used as it stands.
    pub fn note(&mut self, name: &str, detail: String) {
        self.faults.push(SettingFault { name: format!("{}{name}", self.prefix), detail });
    }

    /// All that was wrong; values that weren't read have unknown names.
    pub fn into_faults(mut self) -> Vec<SettingFault> {
        let unknown: Vec<String> = self.values.keys().cloned().collect();
        for name in unknown {
            self.note(&name, "is not a setting".to_owned());
        }
        self.faults
    }

    /// Takes a value; `None` if it isn't there or null.
    fn take(&mut self, name: &str) -> Option<Value> {
        self.values.remove(name).filter(|value| !value.is_null())
    }

    fn error(&self, name: &str, detail: &str) -> Error {
        malformed(&format!("{}{name}: {detail}", self.prefix))
    }
}

impl SettingFault {
    /// The error of settings that must have no fault.
    pub fn into_error(self) -> Error {
        malformed(&format!("{}: {}", self.name, self.detail))
    }
}

fn as_number(value: &Value) -> std::result::Result<f64, String> {
    value.as_f64().ok_or_else(|| format!("must be a number, found {value}"))
}

fn malformed(detail: &str) -> Error {
    Error::new(ErrorKind::Malformed, format!("settings: {detail}"))
}
