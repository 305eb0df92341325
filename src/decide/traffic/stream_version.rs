//! At which software version a stream may go on, from what instances know of it.

use std::collections::BTreeSet;
use std::time::Duration;

use super::CacheAnswer;
use super::OriginKnowledge;
use super::PromptPart;
use crate::names::SoftwareVersion;

/// Bounds of the time over which somebody must know all versions of a service for its only one to
/// be that of any stream. A stream may outlive its replica's entry for some seconds.
const MIN_KNOWN_TIME: Duration = Duration::from_secs(10);
const MAX_KNOWN_TIME: Duration = Duration::from_secs(30);

/// At which software version a stream that is taken up again may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamVersion {
    /// At this one only.
    At(SoftwareVersion),
    /// It isn't known where the stream began, and its service has several versions, or may have had
    /// one more lately.
    Unknown,
    /// Instances name different versions as the one that began the stream.
    Contradictory,
}

impl StreamVersion {
    /// Decides from what this instance knows and what others answered; `longest_stream` is the time
    /// for which a caller may have tried.
    pub fn decide(
        own: &OriginKnowledge,
        answers: &[OriginKnowledge],
        longest_stream: Duration,
    ) -> Self {
        let all = || std::iter::once(own).chain(answers);
        let origins: BTreeSet<&SoftwareVersion> =
            all().filter_map(|known| known.origin.as_ref()).collect();
        if origins.len() > 1 {
            return Self::Contradictory;
        }
        if let Some(origin) = origins.first() {
            return Self::At((*origin).clone());
        }
        let versions: BTreeSet<&SoftwareVersion> =
            all().flat_map(|known| &known.versions).collect();
        let known_time = longest_stream.clamp(MIN_KNOWN_TIME, MAX_KNOWN_TIME);
        let are_all_known = all().any(|known| known.coverage.reaches(known_time));
        match versions.first() {
            Some(only) if versions.len() == 1 && are_all_known => Self::At((*only).clone()),
            _ => Self::Unknown,
        }
    }

    /// The only version of a service's replicas, listed or left, for a stream without a prompt that KV
    /// caches could tell of.
    pub fn sole<'a>(known: impl Iterator<Item = &'a OriginKnowledge>) -> Self {
        let versions: BTreeSet<&SoftwareVersion> =
            known.flat_map(|known| &known.versions).collect();
        match versions.first() {
            Some(only) if versions.len() == 1 => Self::At((*only).clone()),
            Some(_) | None => Self::Unknown,
        }
    }

    /// Decides from the replicas' KV caches, for a stream whose origin no instance knows. `part` is the
    /// last one of its prompt, which no other request has but those of its session, and
    /// `output_tokens` the most tokens that the stream may have.
    ///
    /// A replica that began the stream has read the part. Another one may have read it without
    /// sending an event, so all that hold some of it or didn't answer must run one version.
    pub fn from_caches(part: &PromptPart, output_tokens: u64, answers: &[CacheAnswer]) -> Self {
        let possible = answers.iter().filter(|answer| answer.may_have_begun());
        let versions: BTreeSet<&SoftwareVersion> =
            possible.map(|answer| &answer.software).collect();
        let mut readers = answers.iter().filter(|answer| answer.has_read(part, output_tokens));
        let Some(reader) = readers.next() else { return Self::Unknown };
        if readers.any(|other| other.software != reader.software) {
            return Self::Contradictory;
        }
        if versions.len() > 1 {
            return Self::Unknown;
        }
        Self::At(reader.software.clone())
    }
}
