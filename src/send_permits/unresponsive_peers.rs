//! Instances that didn't answer lately.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use crate::names::InstanceName;
use crate::names::Timestamp;

/// Time for which an instance isn't asked again after an ask without a reply.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(1);

/// Instances that aren't asked for a while, since an ask of them had no reply.
#[derive(Debug, Default)]
pub struct UnresponsivePeers {
    until: Mutex<HashMap<InstanceName, Timestamp>>,
}

impl UnresponsivePeers {
    /// Whether an instance isn't to be asked now.
    pub fn contains(&self, now: Timestamp, name: &InstanceName) -> bool {
        let until = self.until.lock().unwrap_or_else(PoisonError::into_inner);
        until.get(name).is_some_and(|until| now < *until)
    }

    /// Records that an ask of an instance had no reply.
    pub fn add(&self, now: Timestamp, name: &InstanceName) {
        let mut until = self.until.lock().unwrap_or_else(PoisonError::into_inner);
        until.retain(|_, until| now < *until);
        until.insert(name.clone(), now + UNRESPONSIVE_TIME);
    }
}
