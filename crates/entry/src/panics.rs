//! What a panic means for the process.
//!
//! A panic ends only the task or thread that it strikes. An instance whose control has ended so
//! would go on to take connections and answer them from what it last believed, for good. The
//! platform starts a process that ends again, so ending is what recovers.

use std::{panic, process};

/// Makes every panic end the process, after its message was written to standard error.
pub fn abort_on_panic() {
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        report(info);
        log::error!("entry: panic, the process ends.");
        process::abort();
    }));
}
