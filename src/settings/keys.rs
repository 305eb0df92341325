//! Signing and bearer keys of an entry instance.

use std::path::Path;

use super::CallerKeys;
use super::Key;
use super::caller_keys::read_key;
use super::section::Section;

/// Signing and bearer keys of an entry instance (`keys`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Signs messages between entry instances; shared by the fleet.
    pub peers: Key,
    /// Signs tickets; shared by the fleet.
    pub tickets: Key,
    /// Bearer keys of callers; `None` admits everybody.
    pub callers: Option<CallerKeys>,
    /// Bearer key of operators; required if there is an operator listener.
    pub operators: Option<Key>,
}

impl Keys {
    pub(super) fn read(mut section: Section<'_>, base: &Path) -> Option<Self> {
        let peers = required_key(&mut section, "peers", base);
        let tickets = required_key(&mut section, "tickets", base);
        let callers =
            section.section_if_set("callers").map(|callers| CallerKeys::read(callers, base));
        let operators = read_key(&mut section, "operators", base);
        section.report_unknown_keys();
        Some(Self { peers: peers?, tickets: tickets?, callers, operators })
    }
}

fn required_key(section: &mut Section<'_>, name: &str, base: &Path) -> Option<Key> {
    if !section.unread_keys().iter().any(|key| key == name) {
        section.fault(name, "missing");
    }
    read_key(section, name, base)
}
