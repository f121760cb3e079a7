//! Settings that change while an instance runs, with a signal or without one.
//!
//! What can change without harm does so at once: limits and the level of the log. Names,
//! addresses and shards are what others know this instance by; a change of them waits for the
//! next start, and the log says so.

use {
    crate::settings::scheduling::Settings,
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
};

/// A result of looking at the settings file.
pub type Result<T, E = io::Error> = std::result::Result<T, E>;

/// The settings in use and the file that they come from.
#[derive(Debug)]
pub struct SettingsReloader {
    path: PathBuf,
    text: String,
    settings: Settings,
}

impl SettingsReloader {
    /// Starts with settings that were read from `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read any more.
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

    /// Looks at the file; returns whether other settings are in use now.
    ///
    /// A file that is damaged or gone changes nothing.
    pub fn reload_if_changed(&mut self) -> bool {
        let text = match fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(e) => {
                log::error!("settings: {} can't be read: {e}.", self.path.display());
                return false;
            }
        };
        if text == self.text {
            return false;
        }
        self.text = text;
        match Settings::parse(&self.text) {
            Ok(new) => self.change(new),
            Err(problem) => {
                let file = self.path.display();
                log::error!("settings: {file}: {problem}; those in use stay.");
                false
            }
        }
    }

    fn change(&mut self, new: Settings) -> bool {
        let mut next = self.settings.clone();
        next.scheduler.max_lease = new.scheduler.max_lease;
        next.scheduler.drain = new.scheduler.drain;
        next.scheduler.keep = new.scheduler.keep;
        next.grace = new.grace;
        next.log_level = new.log_level;
        if next != new {
            log::warn!("settings: names, addresses or shards have changed: at the next start.");
        }
        let changed = next != self.settings;
        log::info!(
            "settings: read anew, changed={changed} max_lease_ms={} drain_ms={} keep_s={} grace_ms={} level={}.",
            next.scheduler.max_lease.as_millis(),
            next.scheduler.drain.as_millis(),
            next.scheduler.keep.as_secs(),
            next.grace.as_millis(),
            next.log_level,
        );
        self.settings = next;
        changed
    }
}
