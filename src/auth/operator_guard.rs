//! Authenticates operators by bearer key.

use super::bearer;
use crate::error::Result;
use crate::settings::Key;

/// Authenticates operators by the one bearer key that they share.
#[derive(Clone, Debug)]
pub struct OperatorGuard {
    key: Key,
}

impl OperatorGuard {
    /// Checks against this key from the settings.
    pub fn new(key: Key) -> Self {
        Self { key }
    }

    /// Checks the value of an `Authorization` header; `None` if the request has none.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` if the key is missing or wrong.
    pub fn check(&self, header: Option<&str>) -> Result<()> {
        let presented = bearer::key_from_header(header)?;
        if bearer::is_same_key(presented, &self.key) {
            return Ok(());
        }
        Err(bearer::unauthenticated("operator key is wrong"))
    }
}
