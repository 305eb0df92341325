//! One JSON object of a settings file, read key by key.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

use super::Fault;

/// Longest name of an instance or data centre, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// One object: values not read yet, and the faults found so far.
pub(super) struct Section<'a> {
    path: String,
    values: Map<String, Value>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Section<'a> {
    /// Parses the whole text.
    pub(super) fn root(text: &str, faults: &'a mut Vec<Fault>) -> Option<Self> {
        match serde_json::from_str(text) {
            Ok(Value::Object(values)) => Some(Self { path: "$".to_owned(), values, faults }),
            Ok(other) => {
                faults.push(Fault::new("$", format!("expected an object, found {}", kind(&other))));
                None
            }
            Err(e) => {
                faults.push(Fault::new("$", format!("not JSON: {e}")));
                None
            }
        }
    }

    /// JSON path of a key.
    pub(super) fn path_of(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }

    /// Records a fault of a key.
    pub(super) fn fault(&mut self, key: &str, reason: impl Into<String>) {
        self.faults.push(Fault::new(self.path_of(key), reason));
    }

    /// Records a fault of the object itself.
    pub(super) fn own_fault(&mut self, reason: &str) {
        self.faults.push(Fault::new(self.path.clone(), reason));
    }

    /// Every key that has not been read yet.
    pub(super) fn keys(&self) -> Vec<String> {
        self.values.keys().cloned().collect()
    }

    /// An object that must be there.
    pub(super) fn required_section(&mut self, key: &str) -> Option<Section<'_>> {
        let Some(value) = self.take(key) else {
            self.fault(key, "missing");
            return None;
        };
        self.open(key, value)
    }

    /// An object that may be absent, read as an empty one then.
    pub(super) fn optional_section(&mut self, key: &str) -> Section<'_> {
        let value = self.take(key).unwrap_or_else(|| Value::Object(Map::new()));
        let path = self.path_of(key);
        let values = match value {
            Value::Object(values) => values,
            other => {
                self.fault(key, format!("expected an object, found {}", kind(&other)));
                Map::new()
            }
        };
        Section { path, values, faults: self.faults }
    }

    /// An object that may be absent.
    pub(super) fn section_if_set(&mut self, key: &str) -> Option<Section<'_>> {
        let value = self.take(key)?;
        self.open(key, value)
    }

    /// A value that may be absent.
    pub(super) fn optional<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        let value = self.take(key)?;
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(e) => {
                self.fault(key, e.to_string());
                None
            }
        }
    }

    /// A name that must be there: 1 to 64 of `a-z A-Z 0-9 . _ -`.
    pub(super) fn name(&mut self, key: &str) -> Option<String> {
        let Some(value) = self.take(key) else {
            self.fault(key, "missing");
            return None;
        };
        match value {
            Value::String(name) if is_name(&name) => Some(name),
            Value::String(name) => {
                self.fault(key, format!("{name:?} is not 1 to 64 of a-z A-Z 0-9 . _ -"));
                None
            }
            other => {
                self.fault(key, format!("expected a string, found {}", kind(&other)));
                None
            }
        }
    }

    /// An address that must be there.
    pub(super) fn required_addr(&mut self, key: &str) -> Option<SocketAddr> {
        if !self.values.contains_key(key) {
            self.fault(key, "missing");
        }
        self.optional_addr(key)
    }

    /// An address that may be absent.
    pub(super) fn optional_addr(&mut self, key: &str) -> Option<SocketAddr> {
        match self.take(key)? {
            Value::String(text) => {
                let addr = text.parse().ok();
                if addr.is_none() {
                    let reason = format!("{text:?} is not an IP address with a port number");
                    self.fault(key, reason);
                }
                addr
            }
            other => {
                self.fault(key, format!("expected a string, found {}", kind(&other)));
                None
            }
        }
    }

    /// A whole number within bounds, or its default.
    pub(super) fn number(&mut self, key: &str, default: u64, bounds: RangeInclusive<u64>) -> u64 {
        self.number_if_set(key, bounds).unwrap_or(default)
    }

    /// A whole number within bounds that may be absent.
    pub(super) fn number_if_set(&mut self, key: &str, bounds: RangeInclusive<u64>) -> Option<u64> {
        let value = self.take(key)?;
        let number = value.as_u64().filter(|number| bounds.contains(number));
        if number.is_none() {
            let (low, high) = (bounds.start(), bounds.end());
            self.fault(key, format!("{value} is not a whole number from {low} to {high}"));
        }
        number
    }

    /// A time in milliseconds within bounds, or its default.
    pub(super) fn millis(
        &mut self,
        key: &str,
        default: Duration,
        bounds: RangeInclusive<u64>,
    ) -> Duration {
        self.number_if_set(key, bounds).map_or(default, Duration::from_millis)
    }

    /// Reports every key that was not read.
    pub(super) fn finish(self) {
        for key in self.values.keys() {
            self.faults.push(Fault::new(self.path_of(key), "unknown key"));
        }
    }

    fn take(&mut self, key: &str) -> Option<Value> {
        self.values.remove(key)
    }

    fn open(&mut self, key: &str, value: Value) -> Option<Section<'_>> {
        match value {
            Value::Object(values) => {
                Some(Section { path: self.path_of(key), values, faults: self.faults })
            }
            other => {
                self.fault(key, format!("expected an object, found {}", kind(&other)));
                None
            }
        }
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    }
}
