//! Bearer keys of callers.

use std::collections::BTreeMap;
use std::path::Path;

use super::Key;
use super::key::KeySource;
use super::section::Section;
use crate::names::CallerName;

/// Bearer keys of callers by the caller's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerKeys(pub BTreeMap<CallerName, Key>);

impl CallerKeys {
    pub(super) fn read(mut section: Section<'_>, base: &Path) -> Self {
        let mut keys = BTreeMap::new();
        if section.keys().is_empty() {
            section.own_fault("names no caller, so nobody could call");
        }
        for caller in section.keys() {
            if let Some(key) = read_key(&mut section, &caller, base) {
                keys.insert(CallerName::new(&caller), key);
            }
        }
        section.finish();
        Self(keys)
    }
}

/// Reads the key `name` of a section, if it is set.
pub(super) fn read_key(section: &mut Section<'_>, name: &str, base: &Path) -> Option<Key> {
    let source: KeySource = section.optional(name)?;
    match Key::from_source(source, base) {
        Ok(key) => Some(key),
        Err(reason) => {
            section.fault(name, reason);
            None
        }
    }
}
