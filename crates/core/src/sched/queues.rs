//! The configured queues, and finding the queue of a request.

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The host name of its requests.
    pub host: String,
    /// The path prefix of its requests.
    pub prefix: String,
    /// The service whose workers run the queue's tasks.
    pub service: String,
    /// The queue's priority; zero is the most urgent.
    pub priority: u8,
    /// The number of failed attempts of one task after which a job fails.
    pub max_attempts: u32,
    /// The allowed duration of a job, in percent of its critical path.
    pub slack_percent: u32,
    /// The time that is added to the allowed duration, in milliseconds.
    pub extra_ms: u32,
    /// Whether each start of a task needs an approval.
    pub needs_approval: bool,
}

/// The queues of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queues {
    /// The version of the configuration.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The maximum size of a request body, in bytes.
    pub body_limit: usize,
}

impl Queues {
    /// Returns the queue of `host` with the longest prefix of `path`, and the rest of the path;
    /// `None` if no queue matches. A port in `host` is ignored.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host_queues = self.queues.iter().filter(|q| q.host == host);
        let matching = host_queues.filter_map(|q| Some((q, path.strip_prefix(q.prefix.as_str())?)));
        matching.max_by_key(|(q, _)| q.prefix.len())
    }
}
