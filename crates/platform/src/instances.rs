//! The platform's lagging list of entry instances and workers.

use {
    crate::wire::InstanceList,
    bytes::Bytes,
    hyper::{
        HeaderMap, Method, StatusCode,
        header::{ETAG, HeaderValue, IF_NONE_MATCH},
    },
    marigoldbend_http::client::{ClientError, JsonClient},
    std::{net::IpAddr, time::Duration},
};

/// A result of reading the list.
pub type Result<T, E = ClientError> = std::result::Result<T, E>;

/// A list as it was read.
#[derive(Clone, Debug)]
pub struct TaggedInstanceList {
    /// Tells this list from others, if the platform tags its lists.
    pub tag: Option<HeaderValue>,
    /// The list.
    pub list: InstanceList,
}

/// The instance list.
#[derive(Clone, Debug)]
pub struct InstanceListClient {
    url: String,
    client: JsonClient,
}

impl InstanceListClient {
    /// Creates a client of the list at `base`.
    pub fn new(base: &str, limit: Duration, local: Option<IpAddr>) -> Self {
        Self {
            url: format!("{}/instances", base.trim_end_matches('/')),
            client: JsonClient::new(limit, local),
        }
    }

    /// Reads the list unless it is still the one that `known` tags; `None` if it is.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gave no usable reply.
    pub async fn read_newer(
        &self,
        known: Option<&HeaderValue>,
    ) -> Result<Option<TaggedInstanceList>> {
        let mut headers = HeaderMap::new();
        if let Some(tag) = known {
            headers.insert(IF_NONE_MATCH, tag.clone());
        }
        let sent = self
            .client
            .send(Method::GET, &self.url, headers, Bytes::new());
        let reply = sent.await?;
        if reply.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let tag = reply.headers.get(ETAG).cloned();
        let list = self.client.parse_reply(&self.url, &reply)?;
        Ok(Some(TaggedInstanceList { tag, list }))
    }
}
