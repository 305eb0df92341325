//! Checks callers.

use super::bearer;
use crate::error::Result;
use crate::names::CallerName;
use crate::settings::CallerKeys;

/// Checks the bearer keys of callers, where settings name them.
#[derive(Clone, Debug)]
pub struct CallerGuard {
    keys: Option<CallerKeys>,
}

impl CallerGuard {
    /// Checks against these keys; admits every caller without them.
    pub fn new(keys: Option<CallerKeys>) -> Self {
        Self { keys }
    }

    /// Checks an `Authorization` header; gives the caller's name, if callers have keys.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` if callers have keys and this one is missing or wrong.
    pub fn check(&self, header: Option<&str>) -> Result<Option<CallerName>> {
        let Some(keys) = &self.keys else { return Ok(None) };
        let offered = bearer::parse(header)?;
        let mut found = None;
        // Every key is compared, so the time taken doesn't tell which one matched.
        for (name, key) in &keys.0 {
            if bearer::matches(offered, key) {
                found = Some(name.clone());
            }
        }
        match found {
            Some(name) => Ok(Some(name)),
            None => Err(bearer::refused("caller key is wrong")),
        }
    }
}
