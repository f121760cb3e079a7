//! Reads of the platform, one at a time.

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

/// The key of the configuration row.
pub const CONFIG_KEY: &str = "config";

/// Of how many reads one includes the configuration and the instance list.
const FULL_READ_EVERY: u32 = 2;

/// Of how many reads one includes the members of other domains.
const OTHER_DOMAINS_READ_EVERY: u32 = 10;

/// Reads the platform and remembers how fresh its newest answer is.
pub(super) struct PlatformReader {
    domain: Domain,
    table: Table,
    instances: InstanceListClient,
    reading: bool,
    count: u32,
    newest: Option<Instant>,
    up: Option<bool>,
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
            reading: false,
            count: 0,
            newest: None,
            up: None,
            list_tag: None,
        }
    }

    /// Starts a read of what is newer than known, unless one is under way.
    pub(super) fn start(
        &mut self,
        address: &Address<Control>,
        known: KnownVersions,
        now: Instant,
    ) -> bool {
        if self.reading {
            return false;
        }
        self.reading = true;
        let read = Read {
            domain: self.domain,
            table: self.table.clone(),
            instances: self.instances.clone(),
            full: self.count.is_multiple_of(FULL_READ_EVERY),
            with_other_domains: self.count.is_multiple_of(OTHER_DOMAINS_READ_EVERY),
            list_tag: self.list_tag.clone(),
            known,
        };
        self.count = self.count.wrapping_add(1);
        let address = address.clone();
        tokio::spawn(async move {
            let result = read.run().await;
            // The actor ends only with the process.
            let _ = address.send(ReadDone { sent: now, result }).detach().await;
        });
        true
    }

    /// Records the end of a read; returns whether the platform went up or down.
    pub(super) fn finish(&mut self, sent: Instant, up: bool) -> bool {
        self.reading = false;
        if up {
            self.newest = self.newest.max(Some(sent));
        }
        self.up.replace(up) != Some(up)
    }

    /// Remembers which list was read, so that it is not read again.
    pub(super) fn set_list_tag(&mut self, tag: Option<HeaderValue>) {
        self.list_tag = tag;
    }

    /// Returns whether the newest answered read was sent within `age`.
    pub(super) fn is_fresh(&self, now: Instant, age: Duration) -> bool {
        let fresh = |sent| now.saturating_duration_since(sent) < age;
        self.newest.is_some_and(fresh)
    }
}

/// The versions that the instance knows already.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownVersions {
    pub(super) row: Version,
    pub(super) config: Version,
}

struct Read {
    domain: Domain,
    table: Table,
    instances: InstanceListClient,
    full: bool,
    with_other_domains: bool,
    list_tag: Option<HeaderValue>,
    known: KnownVersions,
}

impl Read {
    async fn run(&self) -> Result<PlatformView, TableError> {
        let key = row_key(self.domain);
        let row = self.table.read_newer(&key, self.known.row).await?;
        let mut view = PlatformView {
            known: self.known.row,
            row: row.map(|row| (row.version, Arc::new(self.parse_row(&row)))),
            config: None,
            list: None,
            other_domains: Vec::new(),
        };
        if self.full {
            let row = self.table.read_newer(CONFIG_KEY, self.known.config).await?;
            view.config = row.as_ref().and_then(parse_config);
            // The list lags anyway; a failed read of it does not make the row's read void.
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

    fn parse_row(&self, row: &Row) -> DomainRow {
        let empty = || DomainRow {
            domain: self.domain,
            ..DomainRow::default()
        };
        if row.version == Version(0) {
            return empty();
        }
        serde_json::from_value(row.value.clone()).unwrap_or_else(|e| {
            log::error!("owner: row {} can't be read: {e}.", row.version);
            empty()
        })
    }

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

/// Reads the configuration from its row; `None` if it is absent or damaged.
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
            log::error!("config: {} can't be read: {e}.", row.version);
            None
        }
    }
}
