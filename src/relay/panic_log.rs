//! Logs and counts panics, after which only the task that panicked has ended.

use std::panic;
use std::panic::PanicHookInfo;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::log_event::record;
use super::process_event::ProcessEvent;

static PANICS: AtomicU64 = AtomicU64::new(0);

/// Logs each panic from now on.
pub fn start() {
    panic::set_hook(Box::new(on_panic));
}

/// Number of panics since the process started.
pub fn count() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

fn on_panic(info: &PanicHookInfo<'_>) {
    PANICS.fetch_add(1, Ordering::Relaxed);
    let location = info.location().map(ToString::to_string).unwrap_or_default();
    record(&ProcessEvent::Panicked { location: &location, detail: message_of(info) });
}

fn message_of<'a>(info: &'a PanicHookInfo<'_>) -> &'a str {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or("no message")
}
