//! The generation in effect at one instance, which never decreases.

use std::sync::Arc;

use super::Snapshot;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::Generation;

/// Result of [`ConfigState::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The snapshot has taken effect.
    Applied,
    /// The same content was in effect already.
    AlreadyApplied,
    /// A higher generation is in effect; the snapshot was ignored.
    Outdated,
}

/// The generation in effect at one instance.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    current: Option<Arc<Snapshot>>,
}

impl ConfigState {
    /// The snapshot in effect, if any.
    pub fn current(&self) -> Option<&Arc<Snapshot>> {
        self.current.as_ref()
    }

    /// The generation in effect, if any.
    pub fn generation(&self) -> Option<Generation> {
        self.current.as_ref().map(|snapshot| snapshot.generation())
    }

    /// Applies a snapshot if no generation is in effect or its own is higher.
    ///
    /// # Errors
    ///
    /// `ConfigRefused` if the same generation is in effect with different content.
    pub fn apply(&mut self, snapshot: Snapshot) -> Result<ApplyOutcome> {
        if let Some(current) = &self.current {
            if snapshot.generation() < current.generation() {
                return Ok(ApplyOutcome::Outdated);
            }
            if snapshot.generation() == current.generation() {
                return Self::compare(current, &snapshot);
            }
        }
        self.current = Some(Arc::new(snapshot));
        Ok(ApplyOutcome::Applied)
    }

    fn compare(current: &Snapshot, offered: &Snapshot) -> Result<ApplyOutcome> {
        if current.root_bytes() == offered.root_bytes() {
            return Ok(ApplyOutcome::AlreadyApplied);
        }
        let generation = offered.generation();
        let detail = format!("generation {generation} is in effect with other content");
        Err(Error::new(ErrorKind::ConfigRefused, detail))
    }
}
