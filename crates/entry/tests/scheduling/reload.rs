//! What a change of the settings file does to a running instance.

use {
    crate::WHOLE,
    marigoldbend_entry::{reload::SettingsReloader, settings::scheduling::Settings},
    std::{fs, time::Duration},
    tempfile::TempDir,
    test_case::test_case,
};

fn after(text: &str) -> (bool, Settings) {
    let dir = TempDir::new().expect("a directory");
    let path = dir.path().join("a1.ini");
    fs::write(&path, WHOLE).expect("it is written");
    let settings = Settings::load(&path).expect("they are valid");
    let mut reload = SettingsReloader::new(&path, settings).expect("it is there");
    fs::write(&path, text).expect("it is written");
    let changed = reload.reload_if_changed();
    (changed, reload.settings().clone())
}

#[test]
fn a_limit_changes_at_once() {
    let (changed, settings) = after(&WHOLE.replace("drain_ms = 2000", "drain_ms = 900"));
    assert!(changed);
    assert_eq!(settings.scheduler.drain, Duration::from_millis(900));
}

#[test_case(WHOLE; "nothing has changed")]
#[test_case("[instance]\nname = b\n"; "it lacks what is needed")]
#[test_case("[scheduler\n"; "it is damaged")]
fn settings_in_use_stay(text: &str) {
    let (changed, settings) = after(text);
    assert!(!changed);
    assert_eq!(settings, Settings::parse(WHOLE).expect("they are valid"));
}

#[test]
fn an_address_waits_for_the_next_start() {
    let text = WHOLE.replace("127.0.0.1:7003", "127.0.0.1:7103");
    let (changed, settings) = after(&text.replace("max_lease_ms = 6000", "max_lease_ms = 3000"));
    assert!(changed);
    assert_eq!(settings.scheduler.peers.port(), 7003);
    assert_eq!(settings.scheduler.max_lease, Duration::from_secs(3));
}
