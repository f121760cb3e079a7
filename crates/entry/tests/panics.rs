//! Whether a panic anywhere ends the process, rather than leave it half alive.

use {
    marigoldbend_entry::panics,
    std::{
        env,
        os::unix::process::ExitStatusExt,
        process::{Command, Stdio},
        thread,
    },
};

/// Set in the process that is to panic.
const VICTIM: &str = "MARIGOLDBEND_TEST_VICTIM";

/// The number of the signal that an aborted process ends by.
const SIGABRT: i32 = 6;

#[test]
fn a_panic_of_any_thread_ends_the_process() {
    if env::var_os(VICTIM).is_some() {
        panics::abort_on_panic();
        let _ = thread::spawn(|| panic!("a fault in one thread")).join();
        // Only reached if the panic ended nothing but its thread.
        return;
    }
    let this = env::current_exe().expect("the test's own path");
    let mut victim = Command::new(this);
    victim.args(["--exact", "a_panic_of_any_thread_ends_the_process"]);
    victim
        .env(VICTIM, "1")
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    let status = victim.status().expect("it runs");
    assert_eq!(status.signal(), Some(SIGABRT), "{status}");
}
