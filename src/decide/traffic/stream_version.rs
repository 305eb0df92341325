//! At which software version a stream may go on, from what instances know of it.

use std::collections::BTreeSet;

use super::OriginKnowledge;
use crate::names::SoftwareVersion;

/// At which software version a stream that is taken up again may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamVersion {
    /// At this one only.
    At(SoftwareVersion),
    /// It isn't known where the stream began, and its service had several versions.
    Unknown,
    /// Instances name different versions as the one that began the stream.
    Contradictory,
}

impl StreamVersion {
    /// Decides from what this instance knows and what others answered.
    pub fn decide(own: &OriginKnowledge, answers: &[OriginKnowledge]) -> Self {
        let all = || std::iter::once(own).chain(answers);
        let origins: BTreeSet<&SoftwareVersion> =
            all().filter_map(|known| known.origin.as_ref()).collect();
        if origins.len() > 1 {
            return Self::Contradictory;
        }
        let versions: BTreeSet<&SoftwareVersion> =
            all().flat_map(|known| &known.versions).collect();
        match (origins.first(), versions.first()) {
            (Some(origin), _) => Self::At((*origin).clone()),
            (None, Some(only)) if versions.len() == 1 => Self::At((*only).clone()),
            (None, _) => Self::Unknown,
        }
    }
}
