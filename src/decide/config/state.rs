//! Which generation is in effect at one instance.

use std::sync::Arc;

use super::Snapshot;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::Generation;

/// What came of a snapshot that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is in effect now.
    Applied,
    /// It was in effect already.
    Known,
    /// A higher generation is in effect.
    Older,
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

    /// Applies a snapshot if its generation is higher than the one in effect.
    ///
    /// # Errors
    ///
    /// `ConfigRefused` if the generation in effect has other content.
    pub fn offer(&mut self, snapshot: Snapshot) -> Result<Offer> {
        if let Some(current) = &self.current {
            if snapshot.generation() < current.generation() {
                return Ok(Offer::Older);
            }
            if snapshot.generation() == current.generation() {
                return Self::compare(current, &snapshot);
            }
        }
        self.current = Some(Arc::new(snapshot));
        Ok(Offer::Applied)
    }

    fn compare(current: &Snapshot, offered: &Snapshot) -> Result<Offer> {
        if current.root_bytes() == offered.root_bytes() {
            return Ok(Offer::Known);
        }
        let generation = offered.generation();
        let detail = format!("generation {generation} is in effect with other content");
        Err(Error::new(ErrorKind::ConfigRefused, detail))
    }
}
