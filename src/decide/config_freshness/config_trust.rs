//! What an instance's configuration may be used for.

use serde::Serialize;

/// How far the configuration in effect can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigTrust {
    /// It is the newest one, but for what was published within the propagation limit.
    Current,
    /// A key in it hasn't been revoked; a key that isn't in it may be new.
    Known,
    /// A key in it may have been revoked.
    Stale,
}
