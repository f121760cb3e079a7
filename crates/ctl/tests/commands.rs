//! The commands of `marigoldctl`: exit codes and output.

use {
    std::process::{Command, Output},
    test_case::test_case,
};

/// The path of a completed questionnaire.
const ANSWERS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../answers/viti.ini");

/// Runs `marigoldctl` with these arguments.
fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldctl"));
    command.args(args).output().expect("the binary runs")
}

#[test_case(&["--help"], 0, "Exit codes"; "help")]
#[test_case(&["questionnaire"], 0, "[service NAME]"; "questionnaire")]
#[test_case(&["plan", ANSWERS], 0, "services.authoring.deadline_ms = 2000    ; from [service authoring] delay_ms"; "plan")]
#[test_case(&["plan", ANSWERS, "--json"], 0, "\"authoring\""; "plan as JSON")]
#[test_case(&["check", ANSWERS], 0, "complete"; "check")]
fn command_prints_expected_text(args: &[&str], code: i32, expected: &str) {
    let output = run(args);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains(expected), "{text}");
}

#[test_case(&[], 2, "a command is missing"; "no command")]
#[test_case(&["dance"], 2, "dance"; "unknown command")]
#[test_case(&["plan"], 2, "ANSWERS is missing"; "no answers")]
#[test_case(&["plan", "no-such-file.ini"], 2, "no-such-file.ini"; "no such file")]
#[test_case(&["apply", ANSWERS], 2, "--to ADDRESS is missing"; "no address")]
#[test_case(&["status", "--to", "nowhere"], 2, "nowhere"; "bad address")]
#[test_case(&["evacuate", "--to", "127.0.0.1:1"], 2, "DOMAIN is missing"; "no failure domain")]
#[test_case(&["evacuations"], 2, "--to ADDRESS is missing"; "no address for evacuations")]
#[test_case(&["status", "--to", "127.0.0.1:1"], 1, "no connection"; "unreachable instance")]
fn failure_is_reported_on_stderr(args: &[&str], code: i32, expected: &str) {
    let output = run(args);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(expected), "{text}");
}
