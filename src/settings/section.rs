//! Reader of one JSON object of a settings file that collects all faults.
//!
//! Each getter removes its key, so the keys left over at the end are unknown ones.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

use super::Fault;

/// Longest name of an instance or data centre.
const MAX_NAME_BYTES: usize = 64;

/// One object: the values not read yet, and the faults found so far in the file.
pub(super) struct Section<'a> {
    path: String,
    values: Map<String, Value>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Section<'a> {
    /// Parses the text of a settings file; `None`, with a fault, if it is no JSON object.
    pub(super) fn root(text: &str, faults: &'a mut Vec<Fault>) -> Option<Self> {
        match serde_json::from_str(text) {
            Ok(Value::Object(values)) => Some(Self { path: "$".to_owned(), values, faults }),
            Ok(other) => {
                faults.push(Fault::new(
                    "$",
                    format!("expected an object, found {}", json_type(&other)),
                ));
                None
            }
            Err(e) => {
                faults.push(Fault::new("$", format!("not JSON: {e}")));
                None
            }
        }
    }

    /// JSON path of a key of this object.
    pub(super) fn path_of(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }

    /// Records a fault of the value at a key.
    pub(super) fn fault(&mut self, key: &str, reason: impl Into<String>) {
        self.faults.push(Fault::new(self.path_of(key), reason));
    }

    /// Records a fault of the object itself.
    pub(super) fn section_fault(&mut self, reason: &str) {
        self.faults.push(Fault::new(self.path.clone(), reason));
    }

    /// The keys that have not been read yet.
    pub(super) fn unread_keys(&self) -> Vec<String> {
        self.values.keys().cloned().collect()
    }

    /// A required object.
    pub(super) fn required_section(&mut self, key: &str) -> Option<Section<'_>> {
        let Some(value) = self.take(key) else {
            self.fault(key, "missing");
            return None;
        };
        self.subsection(key, value)
    }

    /// An optional object; an empty one if it is absent.
    pub(super) fn section_or_empty(&mut self, key: &str) -> Section<'_> {
        let value = self.take(key).unwrap_or_else(|| Value::Object(Map::new()));
        let path = self.path_of(key);
        let values = match value {
            Value::Object(values) => values,
            other => {
                self.fault(key, format!("expected an object, found {}", json_type(&other)));
                Map::new()
            }
        };
        Section { path, values, faults: self.faults }
    }

    /// An optional object.
    pub(super) fn section_if_set(&mut self, key: &str) -> Option<Section<'_>> {
        let value = self.take(key)?;
        self.subsection(key, value)
    }

    /// An optional value.
    pub(super) fn value_if_set<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        let value = self.take(key)?;
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(e) => {
                self.fault(key, e.to_string());
                None
            }
        }
    }

    /// A required name: 1 to 64 of `a-z A-Z 0-9 . _ -`.
    pub(super) fn required_name(&mut self, key: &str) -> Option<String> {
        let Some(value) = self.take(key) else {
            self.fault(key, "missing");
            return None;
        };
        match value {
            Value::String(name) if is_valid_name(&name) => Some(name),
            Value::String(name) => {
                self.fault(key, format!("{name:?} is not 1 to 64 of a-z A-Z 0-9 . _ -"));
                None
            }
            other => {
                self.fault(key, format!("expected a string, found {}", json_type(&other)));
                None
            }
        }
    }

    /// A required IP address with port.
    pub(super) fn required_addr(&mut self, key: &str) -> Option<SocketAddr> {
        if !self.values.contains_key(key) {
            self.fault(key, "missing");
        }
        self.addr_if_set(key)
    }

    /// An optional IP address with port.
    pub(super) fn addr_if_set(&mut self, key: &str) -> Option<SocketAddr> {
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
                self.fault(key, format!("expected a string, found {}", json_type(&other)));
                None
            }
        }
    }

    /// An integer within `range`, or `default` if it is absent or faulty.
    pub(super) fn number_or(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        self.number_if_set(key, range).unwrap_or(default)
    }

    /// An optional integer within `range`.
    pub(super) fn number_if_set(&mut self, key: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.take(key)?;
        let number = value.as_u64().filter(|number| range.contains(number));
        if number.is_none() {
            let (low, high) = (range.start(), range.end());
            self.fault(key, format!("{value} is not a whole number from {low} to {high}"));
        }
        number
    }

    /// A time whose milliseconds lie within `range`, or `default` if it is absent or faulty.
    pub(super) fn millis_or(
        &mut self,
        key: &str,
        default: Duration,
        range: RangeInclusive<u64>,
    ) -> Duration {
        self.number_if_set(key, range).map_or(default, Duration::from_millis)
    }

    /// Records each key that was not read as a fault.
    pub(super) fn report_unknown_keys(self) {
        for key in self.values.keys() {
            self.faults.push(Fault::new(self.path_of(key), "unknown key"));
        }
    }

    fn take(&mut self, key: &str) -> Option<Value> {
        self.values.remove(key)
    }

    fn subsection(&mut self, key: &str, value: Value) -> Option<Section<'_>> {
        match value {
            Value::Object(values) => {
                Some(Section { path: self.path_of(key), values, faults: self.faults })
            }
            other => {
                self.fault(key, format!("expected an object, found {}", json_type(&other)));
                None
            }
        }
    }
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

fn json_type(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    }
}
