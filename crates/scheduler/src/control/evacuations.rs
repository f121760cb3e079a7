//! Applies the evacuations of failure domains that the platform's operators ask for.
//!
//! They are rows of the operator's table, which each instance follows for the configuration, so the age
//! of the copy is that of the configuration.

use super::*;

impl Control {
    /// Applies the evacuations in a reply of the store, and passes them to the led shards.
    pub(super) fn on_evacuations(&mut self, update: EvacuationUpdate) {
        let previous = self.evacuated.clone();
        if update.is_full_list {
            self.evacuated.clear();
        }
        for (domain, is_evacuated) in update.domains {
            if is_evacuated {
                self.evacuated.insert(domain);
            } else {
                self.evacuated.remove(&domain);
            }
        }
        if self.evacuated == previous {
            return;
        }
        self.log_evacuations();
        for leader in self.led_shards.values_mut() {
            leader.set_evacuations(Source::Platform, self.evacuated.clone());
        }
    }

    /// Logs the evacuated domains, and those among them that the settings don't have.
    fn log_evacuations(&self) {
        let mut domains: Vec<_> = self.evacuated.iter().collect();
        domains.sort_unstable();
        let is_unknown = |domain: &&&String| self.settings.shard_of(domain).is_none();
        let unknown: Vec<_> = domains.iter().filter(is_unknown).collect();
        log::info!("config: evacuated={domains:?} unknown={unknown:?}.");
    }

    /// Returns whether tasks may not start anywhere, because the copy of the evacuations is too old.
    pub(super) fn must_hold_starts(&self, now: Instant) -> bool {
        let max_age = self.settings.evacuation_max_age;
        max_age.is_some_and(|max_age| {
            let is_readable = self.store.is_reachable();
            evacuation::must_hold_starts(self.config_as_of, max_age, is_readable, now)
        })
    }

    /// Lets the led shards start tasks, or holds their starts back.
    pub(super) fn hold_starts(&mut self, now: Instant) {
        let is_held = self.must_hold_starts(now);
        for leader in self.led_shards.values_mut() {
            leader.shard.hold_starts(is_held);
        }
    }
}
