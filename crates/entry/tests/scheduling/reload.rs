//! Changes of the settings file while an instance runs.

use {
    crate::SETTINGS,
    marigoldbend_entry::{reload::SettingsReloader, settings::scheduling::Settings},
    std::{fs, time::Duration},
    tempfile::TempDir,
    test_case::test_case,
};

/// Starts with [`SETTINGS`], replaces the file's text with `text` and reloads the file; returns
/// whether the settings in use changed, and the settings then in use.
fn reload_with(text: &str) -> (bool, Settings) {
    let dir = TempDir::new().expect("a temporary directory");
    let path = dir.path().join("a1.ini");
    fs::write(&path, SETTINGS).expect("the file is written");
    let settings = Settings::load(&path).expect("valid settings");
    let mut reloader = SettingsReloader::new(&path, settings).expect("the file exists");
    fs::write(&path, text).expect("the file is written");
    let changed = reloader.reload_if_changed();
    (changed, reloader.settings().clone())
}

#[test]
fn changed_drain_time_takes_effect_at_once() {
    let (changed, settings) = reload_with(&SETTINGS.replace("drain_ms = 2000", "drain_ms = 900"));
    assert!(changed);
    assert_eq!(settings.scheduler.drain, Duration::from_millis(900));
}

#[test_case(SETTINGS; "unchanged")]
#[test_case("[instance]\nname = b\n"; "required keys are missing")]
#[test_case("[scheduler\n"; "invalid syntax")]
fn unchanged_or_invalid_file_leaves_the_settings_in_use(text: &str) {
    let (changed, settings) = reload_with(text);
    assert!(!changed);
    assert_eq!(settings, Settings::parse(SETTINGS).expect("valid settings"));
}

#[test]
fn changed_address_is_ignored_until_restart() {
    let text = SETTINGS.replace("127.0.0.1:7003", "127.0.0.1:7103");
    let (changed, settings) =
        reload_with(&text.replace("max_lease_ms = 6000", "max_lease_ms = 3000"));
    assert!(changed);
    assert_eq!(settings.scheduler.peers.port(), 7003);
    assert_eq!(settings.scheduler.max_lease, Duration::from_secs(3));
}
