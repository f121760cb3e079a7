//! Guards against a process that continues to run after one of its threads has panicked.
//!
//! The test starts itself as a child process, which panics in a thread.

use {
    marigoldbend_entry::panics,
    std::{
        env,
        os::unix::process::ExitStatusExt,
        process::{Command, Stdio},
        thread,
    },
};

/// The environment variable that is set in the child process only.
const CHILD_VARIABLE: &str = "MARIGOLDBEND_TEST_VICTIM";

/// The number of the signal that ends an aborted process.
const SIGABRT: i32 = 6;

#[test]
fn panic_in_any_thread_aborts_the_process() {
    if env::var_os(CHILD_VARIABLE).is_some() {
        panics::abort_on_panic();
        let _ = thread::spawn(|| panic!("a panic in a thread")).join();
        // Reached only if the panic ended its thread but not the process.
        return;
    }
    let test_binary = env::current_exe().expect("the path of the test binary");
    let mut child = Command::new(test_binary);
    child.args(["--exact", "panic_in_any_thread_aborts_the_process"]);
    child
        .env(CHILD_VARIABLE, "1")
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    let status = child.status().expect("the child process runs");
    assert_eq!(status.signal(), Some(SIGABRT), "{status}");
}
