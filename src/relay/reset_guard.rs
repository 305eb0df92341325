//! Resets state that a task has marked as in use, also if the task panics or is aborted.

/// Runs a reset when it is dropped, unless it was disarmed.
///
/// It is to be made before the locks that the reset takes are held, so that a panic releases them first.
#[derive(Debug)]
pub struct ResetGuard<F: FnOnce()> {
    reset: Option<F>,
}

impl<F: FnOnce()> ResetGuard<F> {
    /// A guard that runs `reset`.
    pub fn new(reset: F) -> Self {
        Self { reset: Some(reset) }
    }

    /// Drops the guard without a reset: the task has ended as it should, and another may have begun.
    pub fn disarm(mut self) {
        self.reset = None;
    }
}

impl<F: FnOnce()> Drop for ResetGuard<F> {
    fn drop(&mut self) {
        if let Some(reset) = self.reset.take() {
            reset();
        }
    }
}
