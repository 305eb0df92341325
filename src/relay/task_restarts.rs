//! Background tasks that are started again if they fail.
//!
//! A task that panics ends by itself while the process lives on. Without its work the process would
//! answer readiness checks and follow nothing, so it is started again.

use std::future::Future;
use std::time::Duration;

use tokio::time::sleep;

/// Runs the future that `start` makes until one ends; after a panic, `on_failure` is told, and a new
/// one is made after `delay`.
pub async fn restart_after_panics<T>(
    delay: Duration,
    start: impl Fn() -> T,
    on_failure: impl Fn(&str),
) where
    T: Future<Output = ()> + Send + 'static,
{
    loop {
        match tokio::spawn(start()).await {
            Ok(()) => return,
            Err(e) => on_failure(&e.to_string()),
        }
        sleep(delay).await;
    }
}
