//! The configured queues, and the choice of the queue for a request.

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The host name of its requests.
    pub host: String,
    /// The path prefix of its requests.
    pub prefix: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// Its priority; zero is the most urgent.
    pub priority: u8,
    /// How many failed attempts of one task make a job fail.
    pub max_attempts: u32,
    /// The allowed duration of a job, in percent of its critical path.
    pub slack_percent: u32,
    /// What is added to the allowed duration, in milliseconds.
    pub extra_ms: u32,
    /// Whether each start of a task needs an approval.
    pub needs_approval: bool,
}

/// The queues of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queues {
    /// The version.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The maximum size of a request body, in bytes.
    pub body_limit: usize,
}

impl Queues {
    /// Returns the queue with the longest prefix that matches a request, and the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let of_host = self.queues.iter().filter(|q| q.host == host);
        let matching = of_host.filter_map(|q| Some((q, path.strip_prefix(q.prefix.as_str())?)));
        matching.max_by_key(|(q, _)| q.prefix.len())
    }
}
