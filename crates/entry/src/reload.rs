//! Reloads the settings file while an instance runs.
//!
//! Changes of time limits and of the log level take effect immediately. Names, addresses and shards
//! identify the instance to others, so a change of these is logged and takes effect at the next
//! start.

use {
    crate::settings::scheduling::Settings,
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
};

/// A result of reading the settings file.
pub type Result<T, E = io::Error> = std::result::Result<T, E>;

/// The settings in use and the file that they come from.
#[derive(Debug)]
pub struct SettingsReloader {
    path: PathBuf,
    text: String,
    settings: Settings,
}

impl SettingsReloader {
    /// Creates a reloader; `settings` are those that were read from `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read.
    pub fn new(path: &Path, settings: Settings) -> Result<Self> {
        Ok(Self {
            path: path.to_owned(),
            text: fs::read_to_string(path)?,
            settings,
        })
    }

    /// Returns the settings in use.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Reads the file again and applies its changes; returns whether the settings in use have
    /// changed.
    ///
    /// If the file is invalid or missing, an error is logged and the settings in use stay.
    pub fn reload_if_changed(&mut self) -> bool {
        let text = match fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(e) => {
                log::error!(
                    "settings: {} can't be read: {e}; keeping the settings in use.",
                    self.path.display()
                );
                return false;
            }
        };
        if text == self.text {
            return false;
        }
        self.text = text;
        match Settings::parse(&self.text) {
            Ok(new) => self.apply(new),
            Err(problem) => {
                let file = self.path.display();
                log::error!("settings: {file}: {problem}; keeping the settings in use.");
                false
            }
        }
    }

    /// Applies those settings that may change at run time; returns whether any of them has changed.
    fn apply(&mut self, new: Settings) -> bool {
        let mut next = self.settings.clone();
        next.scheduler.max_lease = new.scheduler.max_lease;
        next.scheduler.drain = new.scheduler.drain;
        next.scheduler.keep = new.scheduler.keep;
        next.scheduler.config_max_age = new.scheduler.config_max_age;
        next.scheduler.evacuation_max_age = new.scheduler.evacuation_max_age;
        next.scheduler.features = new.scheduler.features;
        next.grace = new.grace;
        next.log_level = new.log_level;
        if next != new {
            log::warn!(
                "settings: changed names, addresses, shards or limits take effect at the next start."
            );
        }
        let changed = next != self.settings;
        log::info!(
            "settings: reloaded, changed={changed} max_lease_ms={} drain_ms={} keep_s={} config_max_age_ms={} grace_ms={} level={}.",
            next.scheduler.max_lease.as_millis(),
            next.scheduler.drain.as_millis(),
            next.scheduler.keep.as_secs(),
            next.scheduler.config_max_age.as_millis(),
            next.grace.as_millis(),
            next.log_level,
        );
        self.settings = next;
        changed
    }
}
