//! Checks operators.

use super::bearer;
use crate::error::Result;
use crate::settings::Key;

/// Checks the bearer key of operators.
#[derive(Clone, Debug)]
pub struct OperatorGuard {
    key: Key,
}

impl OperatorGuard {
    /// Checks against this key.
    pub fn new(key: Key) -> Self {
        Self { key }
    }

    /// Checks an `Authorization` header.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` if the key is missing or wrong.
    pub fn check(&self, header: Option<&str>) -> Result<()> {
        let offered = bearer::parse(header)?;
        if bearer::matches(offered, &self.key) {
            return Ok(());
        }
        Err(bearer::refused("operator key is wrong"))
    }
}
