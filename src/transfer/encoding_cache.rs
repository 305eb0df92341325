//! Encodings that receivers are getting.

use std::collections::VecDeque;
use std::time::Duration;

use crate::decide::transfer::EncodedValue;
use crate::decide::transfer::EncodingId;
use crate::decide::transfer::ValueId;
use crate::names::Timestamp;

/// Most encodings that are kept.
const MAX_ENCODINGS: usize = 6;
/// Time for which an encoding is kept after it was last used.
const KEPT_FOR: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct CachedEncoding {
    value: ValueId,
    encoded: EncodedValue,
    last_used: Timestamp,
}

/// Encodings that were used lately. A receiver goes on with one that it has begun, also if the
/// values that it was made from aren't held any more.
#[derive(Clone, Debug, Default)]
pub struct EncodingCache {
    encodings: VecDeque<CachedEncoding>,
}

impl EncodingCache {
    /// Adds an encoding of `value`, in place of the oldest one if there are too many.
    pub fn add(&mut self, now: Timestamp, value: ValueId, encoded: EncodedValue) {
        self.encodings.retain(|cached| now.since(cached.last_used) < KEPT_FOR);
        if self.encodings.len() >= MAX_ENCODINGS {
            self.encodings.pop_front();
        }
        self.encodings.push_back(CachedEncoding { value, encoded, last_used: now });
    }

    /// The encoding of this identity.
    pub fn get(&mut self, now: Timestamp, value: ValueId, id: EncodingId) -> Option<EncodedValue> {
        self.find(now, |cached| cached.value == value && cached.encoded.id == id)
    }

    /// The encoding of `value` that is the difference from `base`, or the whole if that is `None`.
    pub fn made_from(
        &mut self,
        now: Timestamp,
        value: ValueId,
        base: Option<ValueId>,
    ) -> Option<EncodedValue> {
        self.find(now, |cached| cached.value == value && cached.encoded.id.base == base)
    }

    fn find(
        &mut self,
        now: Timestamp,
        is_wanted: impl Fn(&CachedEncoding) -> bool,
    ) -> Option<EncodedValue> {
        let cached = self.encodings.iter_mut().find(|cached| is_wanted(cached))?;
        cached.last_used = now;
        Some(cached.encoded.clone())
    }
}
