//! The failure domains that operators have evacuated: no task starts there until they are taken back.
//!
//! An instance reads them from rows that it follows, so its copy has an age. Starts are held back
//! everywhere while the copy is older than the time within which an evacuation must bind and the
//! store can be read: it may then have an evacuation that this instance doesn't know. While the store
//! can't be read at all, the copy holds. A leader that is cut off from a store that serves others
//! resigns sooner than that (see [`leadership`](crate::sched::leadership)).

use {
    crate::hash::{HashMap, HashSet},
    std::time::{Duration, Instant},
};

/// How long before the end of the time within which an evacuation must bind starts are held back. A
/// dispatch and a command's time limit fit in it.
const BINDING_RESERVE: Duration = Duration::from_millis(700);

/// Who asked for an evacuation. Each takes back only what it asked for.
///
/// The platform asks that nothing more is sent to a domain. On a simulated day with an evacuation of
/// 20 s, moving long-running tasks took room from the short work of the other domains and served
/// fewer callers, so they move only if the product's operators ask for it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Source {
    /// The platform's operators, through the platform.
    Platform,
    /// The operators of this product, through its operator interface.
    Operator,
}

/// The evacuated failure domains, as last read.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    domains: HashMap<Source, HashSet<String>>,
}

impl Evacuations {
    /// Replaces all domains of a source; returns whether any has changed.
    pub fn replace(&mut self, source: Source, domains: HashSet<String>) -> bool {
        let previous = self.domains.entry(source).or_default();
        let has_changed = *previous != domains;
        *previous = domains;
        has_changed
    }

    /// Adds or takes back a domain of a source; returns whether that changed anything.
    pub fn set(&mut self, source: Source, domain: &str, is_evacuated: bool) -> bool {
        let domains = self.domains.entry(source).or_default();
        if is_evacuated {
            domains.insert(domain.to_owned())
        } else {
            domains.remove(domain)
        }
    }

    /// Returns whether a domain is evacuated, whoever asked for it.
    pub fn contains(&self, domain: &str) -> bool {
        self.domains
            .values()
            .any(|domains| domains.contains(domain))
    }

    /// Returns the domains from which long-running tasks move away.
    pub fn emptied(&self) -> Vec<&str> {
        let domains = self.domains.get(&Source::Operator).into_iter().flatten();
        domains.map(String::as_str).collect()
    }

    /// Returns the evacuated domains, sorted.
    pub fn sorted(&self) -> Vec<&str> {
        let domains = self.domains.values().flatten().map(String::as_str);
        let mut domains: Vec<_> = domains.collect();
        domains.sort_unstable();
        domains.dedup();
        domains
    }
}

/// Returns whether starts are held back because an evacuation may be unknown.
///
/// At `as_of`, which is `None` before the first read, the store certainly had no other evacuations;
/// they must bind within `max_age`. `is_readable` says whether calls to the store succeed.
pub fn must_hold_starts(
    as_of: Option<Instant>,
    max_age: Duration,
    is_readable: bool,
    now: Instant,
) -> bool {
    let limit = max_age.saturating_sub(BINDING_RESERVE);
    match as_of {
        None => true,
        Some(as_of) => is_readable && now.saturating_duration_since(as_of) > limit,
    }
}
