//! The client of the platform's task agents. The agent on each worker starts, stops and throttles
//! attempts of tasks, and runs each only while its lease is renewed.

use {
    crate::wire::{
        AttemptStatus, RenewReply, RenewTasks, StartTask, StopTask, ThrottleTask, Usage,
    },
    marigoldbend_http::client::{ClientError, JsonClient},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// A result of a call to an agent.
pub type Result<T, E = ClientError> = std::result::Result<T, E>;

/// A client of the task agents.
#[derive(Clone, Debug)]
pub struct TaskAgentClient {
    client: JsonClient,
}

impl TaskAgentClient {
    /// Creates a client whose calls give up after `timeout`, and connect from the address
    /// `local_ip` if given.
    pub fn new(timeout: Duration, local_ip: Option<IpAddr>) -> Self {
        Self {
            client: JsonClient::new(timeout, local_ip),
        }
    }

    /// Starts an attempt; repeating the call is safe.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no usable reply; the attempt may have started.
    pub async fn start(&self, agent: SocketAddr, start: &StartTask) -> Result<AttemptStatus> {
        let url = format!("http://{agent}/tasks/start");
        self.client.post_json(&url, start).await
    }

    /// Renews the leases of attempts and returns the states of the attempts.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no usable reply; the leases may have been renewed.
    pub async fn renew(&self, agent: SocketAddr, renew: &RenewTasks) -> Result<RenewReply> {
        let url = format!("http://{agent}/tasks/renew");
        self.client.post_json(&url, renew).await
    }

    /// Stops and fences an attempt; repeating the call is safe.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no usable reply; the attempt may still run.
    pub async fn stop(&self, agent: SocketAddr, stop: &StopTask) -> Result<AttemptStatus> {
        let url = format!("http://{agent}/tasks/stop");
        self.client.post_json(&url, stop).await
    }

    /// Throttles an attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no usable reply.
    pub async fn throttle(
        &self,
        agent: SocketAddr,
        throttle: &ThrottleTask,
    ) -> Result<AttemptStatus> {
        let url = format!("http://{agent}/tasks/throttle");
        self.client.post_json(&url, throttle).await
    }

    /// Reads a worker's usage, which may be out of date.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no usable reply.
    pub async fn usage(&self, agent: SocketAddr) -> Result<Usage> {
        let url = format!("http://{agent}/usage");
        self.client.get_json(&url).await
    }
}
