//! The platform's list of entry instances and workers, which may be out of date.

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

/// An instance list with the entity tag of its version.
#[derive(Clone, Debug)]
pub struct TaggedInstanceList {
    /// The entity tag; `None` if the platform sends none.
    pub tag: Option<HeaderValue>,
    /// The list.
    pub list: InstanceList,
}

/// A client of the instance list.
#[derive(Clone, Debug)]
pub struct InstanceListClient {
    url: String,
    client: JsonClient,
}

impl InstanceListClient {
    /// Creates a client of the platform at `base`, such as `http://10.0.0.1:7000`. Each call gives
    /// up after `timeout`, and connects from the address `local_ip` if given.
    pub fn new(base: &str, timeout: Duration, local_ip: Option<IpAddr>) -> Self {
        Self {
            url: format!("{}/instances", base.trim_end_matches('/')),
            client: JsonClient::new(timeout, local_ip),
        }
    }

    /// Reads the list; `None` if its entity tag is still `known_tag`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gave no usable reply.
    pub async fn read_newer(
        &self,
        known_tag: Option<&HeaderValue>,
    ) -> Result<Option<TaggedInstanceList>> {
        let mut headers = HeaderMap::new();
        if let Some(tag) = known_tag {
            headers.insert(IF_NONE_MATCH, tag.clone());
        }
        let request = self
            .client
            .send(Method::GET, &self.url, headers, Bytes::new());
        let reply = request.await?;
        if reply.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let tag = reply.headers.get(ETAG).cloned();
        let list = self.client.parse_reply(&self.url, &reply)?;
        Ok(Some(TaggedInstanceList { tag, list }))
    }
}
