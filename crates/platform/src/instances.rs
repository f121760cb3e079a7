//! The platform's lagging list of entry instances and workers.

use {
    crate::wire::InstanceList,
    marigoldbend_http::client::{ClientError, JsonClient},
    std::{net::IpAddr, time::Duration},
};

/// A result of reading the list.
pub type Result<T, E = ClientError> = std::result::Result<T, E>;

/// The instance list.
#[derive(Clone, Debug)]
pub struct Instances {
    url: String,
    client: JsonClient,
}

impl Instances {
    /// Creates a client of the list at `base`.
    pub fn new(base: &str, limit: Duration, local: Option<IpAddr>) -> Self {
        Self {
            url: format!("{}/instances", base.trim_end_matches('/')),
            client: JsonClient::new(limit, local),
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gave no usable reply.
    pub async fn read(&self) -> Result<InstanceList> {
        self.client.get_json(&self.url).await
    }
}
