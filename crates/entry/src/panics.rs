//! Aborts the process on a panic.
//!
//! By default, a panic ends only its own task or thread. An instance whose control thread ended
//! in this way would accept connections indefinitely and answer them from outdated state. Aborting
//! recovers the instance, because the platform restarts a process that ends.

use std::{panic, process};

/// Makes each panic abort the process, after its message was written to standard error.
pub fn abort_on_panic() {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        default_hook(info);
        log::error!("entry: panic; aborting the process.");
        process::abort();
    }));
}
