//! A stream between two reads. The relay of a stream isn't polled while the caller's connection takes
//! nothing, so it can't end the stream at the deadline itself.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::sleep;

use super::open_stream::OpenStream;
use super::request_deadline::RequestDeadline;

/// Interval at which a stream is looked for after its deadline, as it may be read at that moment.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Holds the stream while the caller's connection takes nothing; dropped with its connection and counts
/// at the deadline.
pub struct ParkedStream {
    slot: Arc<Mutex<Option<OpenStream>>>,
    watch: AbortHandle,
}

impl ParkedStream {
    /// Starts to watch the deadline; nothing is parked yet.
    pub fn new(deadline: Arc<RequestDeadline>) -> Self {
        let slot: Arc<Mutex<Option<OpenStream>>> = Arc::default();
        let watched = Arc::clone(&slot);
        let watch = tokio::spawn(async move {
            deadline.passed().await;
            while take(&watched).is_none() {
                sleep(CHECK_INTERVAL).await;
            }
        });
        Self { slot, watch: watch.abort_handle() }
    }

    /// Parks the stream.
    pub fn park(&self, stream: Option<OpenStream>) {
        *self.slot.lock().unwrap_or_else(PoisonError::into_inner) = stream;
    }

    /// Takes the stream back; `None` if it has ended.
    pub fn take(&self) -> Option<OpenStream> {
        take(&self.slot)
    }
}

impl Drop for ParkedStream {
    fn drop(&mut self) {
        self.watch.abort();
    }
}

fn take(slot: &Mutex<Option<OpenStream>>) -> Option<OpenStream> {
    slot.lock().unwrap_or_else(PoisonError::into_inner).take()
}
