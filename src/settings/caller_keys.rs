//! Bearer keys of callers.

use std::collections::BTreeMap;
use std::path::Path;

use super::Key;
use super::key::KeySource;
use super::section::Section;
use crate::names::CallerName;

/// Bearer key of each caller, by the caller's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerKeys(pub BTreeMap<CallerName, Key>);

impl CallerKeys {
    pub(super) fn read(mut section: Section<'_>, base: &Path) -> Self {
        let mut keys = BTreeMap::new();
        if section.unread_keys().is_empty() {
            section.section_fault("names no caller, so nobody could call");
        }
        for caller in section.unread_keys() {
            if let Some(key) = read_key(&mut section, &caller, base) {
                keys.insert(CallerName::new(&caller), key);
            }
        }
        section.report_unknown_keys();
        Self(keys)
    }
}

/// Reads the bearer or signing key at `name`; `None` if it is absent or faulty.
pub(super) fn read_key(section: &mut Section<'_>, name: &str, base: &Path) -> Option<Key> {
    let source: KeySource = section.value_if_set(name)?;
    match Key::from_source(source, base) {
        Ok(key) => Some(key),
        Err(reason) => {
            section.fault(name, reason);
            None
        }
    }
}
