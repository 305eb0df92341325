//! Flags of tasks that end before their work is done.

use std::future::pending;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tamaracklead::relay::ResetGuard;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::task::yield_now;

/// A flag with the number of its resets.
#[derive(Debug, Default)]
struct Flag {
    is_set: bool,
    resets: usize,
}

fn set(flag: &Arc<Mutex<Flag>>) -> ResetGuard<impl FnOnce() + Send + use<>> {
    flag.lock().unwrap().is_set = true;
    let flag = Arc::clone(flag);
    ResetGuard::new(move || {
        // A panic that held it has poisoned the lock.
        let mut flag = flag.lock().unwrap_or_else(PoisonError::into_inner);
        flag.is_set = false;
        flag.resets += 1;
    })
}

fn state(flag: &Mutex<Flag>) -> (bool, usize) {
    let flag = flag.lock().unwrap_or_else(PoisonError::into_inner);
    (flag.is_set, flag.resets)
}

fn runtime() -> Runtime {
    Builder::new_current_thread().build().unwrap()
}

// Guards against a replica, group or topic that stalls as the task that called for it has panicked, also
// while it held the lock of the flag.
#[test]
fn a_flag_is_reset_after_a_panic_of_its_task() {
    for holds_lock in [false, true] {
        let flag = Arc::default();
        let guard = set(&flag);
        let ended = runtime().block_on(async {
            let shared = Arc::clone(&flag);
            let task = tokio::spawn(async move {
                let _guard = guard;
                yield_now().await;
                let _held = holds_lock.then(|| shared.lock().unwrap());
                panic!("the task fails");
            });
            task.await
        });
        assert!(ended.is_err());
        assert_eq!(state(&flag), (false, 1));
    }
}

// Guards against the same after a task that was aborted, or whose runtime was dropped.
#[test]
fn a_flag_is_reset_when_its_task_is_aborted() {
    for is_aborted in [true, false] {
        let flag = Arc::default();
        let guard = set(&flag);
        let runtime = runtime();
        runtime.block_on(async {
            let task = tokio::spawn(async move {
                let _guard = guard;
                pending::<()>().await;
            });
            yield_now().await;
            assert_eq!(state(&flag), (true, 0));
            if is_aborted {
                task.abort();
                assert!(task.await.is_err());
            }
        });
        drop(runtime);
        assert_eq!(state(&flag), (false, 1));
    }
}

// Guards against two tasks for one flag: the one that has ended resets what the next one has set.
#[test]
fn a_flag_is_not_reset_by_a_task_that_has_ended_as_it_should() {
    let flag = Arc::default();
    set(&flag).disarm();
    assert_eq!(state(&flag), (true, 0));
}
