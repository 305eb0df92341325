//! Keys that an entry instance holds.

use std::path::Path;

use super::CallerKeys;
use super::Key;
use super::caller_keys::read_key;
use super::section::Section;

/// Keys that an entry instance holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Signs messages between entry instances; the same on all.
    pub peers: Key,
    /// Signs tickets; the same on all.
    pub tickets: Key,
    /// Bearer keys of callers; everybody may call if absent.
    pub callers: Option<CallerKeys>,
    /// Bearer key of operators; required with an operator listener.
    pub operators: Option<Key>,
}

impl Keys {
    pub(super) fn read(mut section: Section<'_>, base: &Path) -> Option<Self> {
        let peers = required_key(&mut section, "peers", base);
        let tickets = required_key(&mut section, "tickets", base);
        let callers =
            section.section_if_set("callers").map(|callers| CallerKeys::read(callers, base));
        let operators = read_key(&mut section, "operators", base);
        section.finish();
        Some(Self { peers: peers?, tickets: tickets?, callers, operators })
    }
}

fn required_key(section: &mut Section<'_>, name: &str, base: &Path) -> Option<Key> {
    if !section.keys().iter().any(|key| key == name) {
        section.fault(name, "missing");
    }
    read_key(section, name, base)
}
