//! Values that an instance has.

use std::collections::VecDeque;

use bytes::Bytes;

use super::LargeValue;
use super::ValueId;

/// Size of all former values together, in bytes; the newest former one is kept whatever its size.
const MAX_FORMER_BYTES: usize = 2 * 1024 * 1024;

/// The newest large value of an instance and some former ones, from which differences are made.
#[derive(Clone, Debug, Default)]
pub struct HeldValues {
    /// From the oldest to the newest.
    values: VecDeque<(ValueId, Bytes)>,
}

impl HeldValues {
    /// Adds the newest value; returns its reference, `None` if it isn't large.
    pub fn add(&mut self, value: &Bytes) -> Option<LargeValue> {
        let large = LargeValue::of(value)?;
        self.values.retain(|(id, _)| *id != large.id);
        self.values.push_back((large.id, value.clone()));
        while self.values.len() > 2 && self.former_bytes() > MAX_FORMER_BYTES {
            self.values.pop_front();
        }
        Some(large)
    }

    /// The value of this identity.
    pub fn get(&self, id: ValueId) -> Option<Bytes> {
        self.values.iter().find(|(held, _)| *held == id).map(|(_, value)| value.clone())
    }

    /// Identity of the newest value.
    pub fn newest(&self) -> Option<ValueId> {
        self.values.back().map(|(id, _)| *id)
    }

    fn former_bytes(&self) -> usize {
        self.values.iter().rev().skip(1).map(|(_, value)| value.len()).sum()
    }
}
