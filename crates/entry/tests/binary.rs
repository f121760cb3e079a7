//! The binary's arguments and settings: exit codes and error messages.

use {
    std::{
        fs,
        process::{Command, Output},
    },
    tempfile::TempDir,
    test_case::test_case,
};

/// Valid settings; tests replace single values or lines.
const SETTINGS: &str = "\
[instance]
name = a1
domain = 1
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
url = http://127.0.0.1:7000
[traffic]
threads = 1
";

/// Runs the binary with `--check` on a settings file that contains `text`.
fn check(text: &str) -> Output {
    let dir = TempDir::new().expect("a temporary directory");
    let path = dir.path().join("a1.ini");
    fs::write(&path, text).expect("the settings are written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldbend-entry"));
    command.arg("--check").arg(path);
    command.output().expect("the binary runs")
}

#[test]
fn valid_settings_pass_the_check() {
    let output = check(SETTINGS);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test_case("domain = 1", "domain = one", "line 3: [instance] domain"; "bad number")]
#[test_case("domain = 1", "domain = 0", "line 3: [instance] domain"; "out of range")]
#[test_case("domain = 1", "domains = 1", "line 3: [instance] domains"; "unknown key")]
#[test_case("domain = 1\n", "", "[instance] domain: the key is missing"; "missing key")]
#[test_case("[traffic]", "[trafic]", "line 10: section [trafic]"; "unknown section")]
#[test_case("threads = 1", "threads = 65", "line 11: [traffic] threads"; "too many threads")]
#[test_case("callers = 127.0.0.1:0", "callers = 127.0.0.1", "line 5: [listen] callers"; "bad address")]
#[test_case("url = http:", "url = ftp:", "line 9: [platform] url"; "bad scheme")]
#[test_case("threads = 1", "threads = 1\nthreads = 2", "[traffic] threads: the key is given twice"; "given twice")]
#[test_case("[traffic]", "[limits]\nmemory_mb = 1\n[traffic]", "line 11: [limits] memory_mb"; "too little memory")]
#[test_case("[instance]", "name = a1\n[instance]", "line 1: key \"name\" is outside any section"; "no section")]
#[test_case("[instance]", "[instance", "a1.ini: line"; "broken section")]
fn invalid_settings_are_reported_with_exit_code_2(valid: &str, invalid: &str, message: &str) {
    let text = SETTINGS.replacen(valid, invalid, 1);
    assert_ne!(text, SETTINGS);
    let output = check(&text);
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{error}");
    assert!(error.contains("a1.ini"), "{error}");
    assert!(error.contains(message), "{error}");
}

#[test_case(&[], 2; "no arguments")]
#[test_case(&["--help"], 0; "help")]
#[test_case(&["a.ini", "b.ini"], 2; "two files")]
#[test_case(&["no-such-file.ini"], 2; "no such file")]
fn arguments_determine_the_exit_code(args: &[&str], code: i32) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldbend-entry"));
    let output = command.args(args).output().expect("the binary runs");
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

#[test]
fn port_in_use_is_reported_with_exit_code_1() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the socket is bound");
    let dir = TempDir::new().expect("a temporary directory");
    let path = dir.path().join("a1.ini");
    let text = SETTINGS.replacen("127.0.0.1:0", &address.to_string(), 1);
    fs::write(&path, text).expect("the settings are written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldbend-entry"));
    let output = command.arg(path).output().expect("the binary runs");
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{error}");
    assert!(
        error.contains(&format!("can't listen for callers on {address}")),
        "{error}"
    );
}
