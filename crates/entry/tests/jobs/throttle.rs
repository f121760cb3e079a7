//! Limits the processor time of a child process.

use {
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        process::Child,
        sync::mpsc::{self, RecvTimeoutError, Sender},
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// The period in which a process runs once.
pub const PERIOD: Duration = Duration::from_millis(100);

/// Suspends and resumes a child process until it is dropped; the process then runs without a limit.
pub struct Throttle {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Lets a child process run for `quota` of every [`PERIOD`].
///
/// The throttle must be dropped before the process is waited for, since its identifier may be
/// reused afterwards.
pub fn throttle_process(child: &Child, quota: Duration) -> Throttle {
    let pid = Pid::from_raw(child.id().cast_signed());
    let (stop, stopped) = mpsc::channel();
    let is_running = move |time| stopped.recv_timeout(time) == Err(RecvTimeoutError::Timeout);
    let thread = thread::spawn(move || {
        // The errors are ignored because the process may have ended already.
        loop {
            let _ = kill(pid, Signal::SIGSTOP);
            let keep_on = is_running(PERIOD - quota);
            let _ = kill(pid, Signal::SIGCONT);
            if !keep_on || !is_running(quota) {
                return;
            }
        }
    });
    Throttle {
        stop: Some(stop),
        thread: Some(thread),
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // The thread does not panic.
            let _ = thread.join();
        }
    }
}
