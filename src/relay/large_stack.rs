//! A stack for the relay's thread that doesn't depend on the system's limit.

use std::panic;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread::Builder;

use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;

use crate::error::Result;

/// Size of a stack on which the relay runs, in bytes.
const STACK_BYTES: u64 = 2 * 1024 * 1024;

/// Runs `work` on this thread if its stack may grow to what the relay takes, else on a thread with such a
/// stack, or on this one if the system has none.
///
/// # Errors
///
/// Those of `work`.
pub fn run<F: FnOnce() -> Result<()> + Send + 'static>(work: F) -> Result<()> {
    if getrlimit(Resource::RLIMIT_STACK).is_ok_and(|(soft, _)| soft >= STACK_BYTES) {
        return work();
    }
    let work = Arc::new(Mutex::new(Some(work)));
    let of_thread = Arc::clone(&work);
    let thread = Builder::new().stack_size(STACK_BYTES as usize);
    match thread.spawn(move || run_once(&of_thread)) {
        Ok(thread) => thread.join().unwrap_or_else(|panicked| panic::resume_unwind(panicked)),
        Err(_) => run_once(&work),
    }
}

fn run_once<F: FnOnce() -> Result<()>>(work: &Mutex<Option<F>>) -> Result<()> {
    let work = work.lock().unwrap_or_else(PoisonError::into_inner).take();
    work.map_or(Ok(()), |work| work())
}
