//! Versions of the item, and the sizes of what is sent for them.

use tamaracklead::decide::transfer::EncodingId;
use tamaracklead::decide::transfer::LargeValue;
use tamaracklead::decide::transfer::ValueId;

use crate::plan::Plan;

/// What the encoding of a whole item has of its size.
const ENCODED_SHARE: f64 = 0.2;

/// Versions of the item; version 0 is the one that all instances have at first.
#[derive(Clone, Debug)]
pub struct Versions {
    values: Vec<LargeValue>,
    bytes: f64,
    changed_bytes: f64,
}

impl Versions {
    pub fn new(plan: &Plan) -> Self {
        let values = (0..=plan.changes).map(|version| LargeValue {
            id: ValueId::of(&version.to_le_bytes()),
            size: plan.bytes as u32,
        });
        let (bytes, changed_bytes) = (plan.bytes as f64, plan.changed_bytes as f64);
        Self { values: values.collect(), bytes, changed_bytes }
    }

    pub fn value(&self, version: usize) -> LargeValue {
        self.values[version]
    }

    pub fn number_of(&self, id: ValueId) -> usize {
        self.values.iter().position(|value| value.id == id).unwrap()
    }

    /// The encoding of a version, as the difference from `base` if that is given.
    pub fn encoding(&self, base: Option<usize>, version: usize) -> EncodingId {
        let whole = self.bytes * ENCODED_SHARE;
        let changed = |base| (version - base) as f64 * self.changed_bytes * ENCODED_SHARE;
        let size = base.map_or(whole, |base| whole.min(changed(base) + 100.0));
        let hash = (version * 1000 + base.unwrap_or(999)) as u64;
        EncodingId { base: base.map(|base| self.values[base].id), size: size as u32, hash }
    }
}
