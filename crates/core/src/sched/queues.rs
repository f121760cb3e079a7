//! The queues that the configuration names, and which one a request is for.

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The beginning of the path of its requests.
    pub prefix: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// Its priority; zero is the most urgent.
    pub priority: u8,
    /// How many failed runs of a task make a job fail.
    pub max_attempts: u32,
    /// How many times as long as its longest chain of steps a job may take, in percent.
    pub slack_percent: u32,
    /// What a job may take beyond that, in milliseconds.
    pub extra_ms: u32,
    /// Whether starts need an approval.
    pub needs_approval: bool,
}

/// A version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queues {
    /// The version.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The longest body of a request, in bytes.
    pub body_limit: usize,
}

impl Queues {
    /// Returns the queue of a request and the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let of_host = self.queues.iter().filter(|q| q.host == host);
        let fitting = of_host.filter_map(|q| Some((q, path.strip_prefix(q.prefix.as_str())?)));
        fitting.max_by_key(|(q, _)| q.prefix.len())
    }
}
