//! Authenticates callers by bearer key.

use super::bearer;
use crate::error::Result;
use crate::names::CallerName;
use crate::settings::CallerKeys;

/// Authenticates callers by bearer key, if the settings give them keys.
#[derive(Clone, Debug)]
pub struct CallerGuard {
    keys: Option<CallerKeys>,
}

impl CallerGuard {
    /// Checks against these keys; `None` admits every caller.
    pub fn new(keys: Option<CallerKeys>) -> Self {
        Self { keys }
    }

    /// Checks an `Authorization` header and returns the caller's name; `None` if callers have no
    /// keys.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` if callers have keys and this one is missing or wrong.
    pub fn check(&self, header: Option<&str>) -> Result<Option<CallerName>> {
        let Some(keys) = &self.keys else { return Ok(None) };
        let presented = bearer::key_from_header(header)?;
        let mut found = None;
        // Compares every key, so the time taken doesn't reveal which one matched.
        for (name, key) in &keys.0 {
            if bearer::is_same_key(presented, key) {
                found = Some(name.clone());
            }
        }
        match found {
            Some(name) => Ok(Some(name)),
            None => Err(bearer::unauthenticated("caller key is wrong")),
        }
    }
}
