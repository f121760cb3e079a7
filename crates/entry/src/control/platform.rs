//! Reads the platform's table and instance list, with one read in flight at a time.

use {
    super::actor::{Control, ControlConfig, PlatformView, ReadDone, row_key},
    hyper::header::HeaderValue,
    marigoldbend::{
        core::{
            config::{Config, VersionedConfig},
            ids::{Domain, Version},
            ownership::{DomainRow, Member},
        },
        platform::{
            instances::InstanceListClient,
            table::{Table, TableError},
            wire::Row,
        },
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    xtra::prelude::*,
};

/// The key of the configuration row in the platform's table.
pub const CONFIG_KEY: &str = "config";

/// The configuration and the instance list are read once per this number of reads.
const CONFIG_AND_LIST_READ_EVERY: u32 = 2;

/// The members of other domains are read once per this number of reads.
const OTHER_DOMAINS_READ_EVERY: u32 = 10;

/// Reads the platform and records when the last successful read was sent.
pub(super) struct PlatformReader {
    domain: Domain,
    table: Table,
    instances: InstanceListClient,
    read_in_flight: bool,
    read_count: u32,
    /// When the newest successful read was sent; `None` before the first.
    last_success_sent: Option<Instant>,
    /// Whether the last read succeeded; `None` before the first.
    is_up: Option<bool>,
    /// The entity tag of the newest instance list; `None` if it had none or none was read.
    list_tag: Option<HeaderValue>,
}

impl PlatformReader {
    pub(super) fn new(cfg: &ControlConfig, table: Table) -> Self {
        let instances =
            InstanceListClient::new(&cfg.platform_url, cfg.platform_timeout, cfg.local_ip);
        Self {
            domain: cfg.domain,
            table,
            instances,
            read_in_flight: false,
            read_count: 0,
            last_success_sent: None,
            is_up: None,
            list_tag: None,
        }
    }

    /// Starts a read of the rows newer than `known_versions`; returns `false` if one is in flight.
    pub(super) fn start(
        &mut self,
        address: &Address<Control>,
        known_versions: KnownVersions,
        now: Instant,
    ) -> bool {
        if self.read_in_flight {
            return false;
        }
        self.read_in_flight = true;
        let read = PlatformRead {
            domain: self.domain,
            table: self.table.clone(),
            instances: self.instances.clone(),
            with_config_and_list: self.read_count.is_multiple_of(CONFIG_AND_LIST_READ_EVERY),
            with_other_domains: self.read_count.is_multiple_of(OTHER_DOMAINS_READ_EVERY),
            list_tag: self.list_tag.clone(),
            known_versions,
        };
        self.read_count = self.read_count.wrapping_add(1);
        let address = address.clone();
        tokio::spawn(async move {
            let result = read.run().await;
            // The actor ends only with the process.
            let _ = address.send(ReadDone { sent: now, result }).detach().await;
        });
        true
    }

    /// Records whether a read that was sent at `sent` succeeded; returns whether that differs from
    /// the previous read. The first read always differs.
    pub(super) fn finish(&mut self, sent: Instant, succeeded: bool) -> bool {
        self.read_in_flight = false;
        if succeeded {
            self.last_success_sent = self.last_success_sent.max(Some(sent));
        }
        self.is_up.replace(succeeded) != Some(succeeded)
    }

    /// Sets the entity tag of the instance list, so that an unchanged list is not sent again.
    pub(super) fn set_list_tag(&mut self, tag: Option<HeaderValue>) {
        self.list_tag = tag;
    }

    /// Returns whether the newest successful read was sent less than `max_age` before `now`.
    pub(super) fn is_fresh(&self, now: Instant, max_age: Duration) -> bool {
        let is_recent = |sent| now.saturating_duration_since(sent) < max_age;
        self.last_success_sent.is_some_and(is_recent)
    }
}

/// The newest versions that this instance has; zero before the first read.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownVersions {
    pub(super) row: Version,
    pub(super) config: Version,
}

/// One read of the platform.
struct PlatformRead {
    domain: Domain,
    table: Table,
    instances: InstanceListClient,
    with_config_and_list: bool,
    with_other_domains: bool,
    list_tag: Option<HeaderValue>,
    known_versions: KnownVersions,
}

impl PlatformRead {
    async fn run(&self) -> Result<PlatformView, TableError> {
        let key = row_key(self.domain);
        let row = self.table.read_newer(&key, self.known_versions.row).await?;
        let mut view = PlatformView {
            known_row_version: self.known_versions.row,
            row: row.map(|row| (row.version, Arc::new(self.parse_row(&row)))),
            config: None,
            list: None,
            other_domains: Vec::new(),
        };
        if self.with_config_and_list {
            let row = self
                .table
                .read_newer(CONFIG_KEY, self.known_versions.config)
                .await?;
            view.config = row.as_ref().and_then(parse_config);
            // The platform updates the list late in any case, so a failed read of the list does not
            // fail the whole read.
            let list = self.instances.read_newer(self.list_tag.as_ref()).await;
            view.list = list.ok().flatten();
        }
        if self.with_other_domains {
            let rows = self.table.scan("ownership/").await?;
            view.other_domains = rows
                .iter()
                .flat_map(|row| self.members_of_other_domain(row))
                .collect();
        }
        Ok(view)
    }

    /// Decodes this domain's ownership row; a row that is absent or can't be decoded counts as
    /// empty.
    fn parse_row(&self, row: &Row) -> DomainRow {
        let empty = || DomainRow {
            domain: self.domain,
            ..DomainRow::default()
        };
        if row.version == Version(0) {
            return empty();
        }
        serde_json::from_value(row.value.clone()).unwrap_or_else(|e| {
            log::error!(
                "owner: row {} can't be decoded and counts as empty: {e}.",
                row.version
            );
            empty()
        })
    }

    /// Returns the members in the ownership row of another domain; none if the row is this domain's
    /// or can't be decoded.
    fn members_of_other_domain(&self, row: &Row) -> Vec<(Domain, Member)> {
        let Ok(row) = serde_json::from_value::<DomainRow>(row.value.clone()) else {
            return Vec::new();
        };
        if row.domain == self.domain {
            return Vec::new();
        }
        let domain = row.domain;
        row.members.into_iter().map(|m| (domain, m)).collect()
    }
}

/// Decodes the configuration row; `None` if it is absent or can't be decoded.
fn parse_config(row: &Row) -> Option<VersionedConfig> {
    if row.version == Version(0) {
        return None;
    }
    match serde_json::from_value::<Config>(row.value.clone()) {
        Ok(config) => Some(VersionedConfig {
            version: row.version,
            config: Arc::new(config),
        }),
        Err(e) => {
            log::error!(
                "config: configuration {} can't be decoded and is ignored: {e}.",
                row.version
            );
            None
        }
    }
}
