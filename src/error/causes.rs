//! An error together with what caused it.

use std::error::Error as StdError;
use std::fmt;

/// Most causes that are shown after the error itself.
const MAX_CAUSES: usize = 5;

/// Shows an error with its causes, which libraries leave out of the text of the error itself.
#[derive(Clone, Copy, Debug)]
pub struct WithCauses<'a>(pub &'a (dyn StdError + 'static));

impl fmt::Display for WithCauses<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)?;
        let causes = std::iter::successors(self.0.source(), |&cause| cause.source());
        for cause in causes.take(MAX_CAUSES) {
            write!(f, ": {cause}")?;
        }
        Ok(())
    }
}
