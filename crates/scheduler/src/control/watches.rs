//! Following the store and the workers: who tells the control thread of what changes there.

use super::*;

/// The wait of one call for changes of the configuration, which must be in force within 2 s.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);

/// The wait of one call for changes of the list of workers or the jobs of a shard.
const LIST_WAIT: Duration = Duration::from_millis(1_500);

/// The time between two looks at the list of workers, whose entries change with every heartbeat.
const LIST_GAP: Duration = Duration::from_millis(800);

impl Control {
    /// Starts the tasks that follow the store.
    pub(super) fn start_watches(&self, address: &Address<Self>) {
        let op = WatchTarget {
            table: wire::OPERATOR_TABLE.to_owned(),
            part: String::new(),
            wait: CONFIG_WAIT,
            gap: Duration::ZERO,
        };
        let to = address.clone();
        tokio::spawn(watch::watch_table(
            self.store.clone(),
            op,
            None,
            move |seen| {
                let events = config_events(seen);
                let to = to.clone();
                Box::pin(async move {
                    for event in events {
                        send_event(&to, event).await;
                    }
                })
            },
        ));
        let list = WatchTarget {
            table: wire::WORKERS_TABLE.to_owned(),
            part: String::new(),
            wait: LIST_WAIT,
            gap: LIST_GAP,
        };
        let to = address.clone();
        tokio::spawn(watch::watch_table(
            self.store.clone(),
            list,
            None,
            move |seen| {
                let to = to.clone();
                Box::pin(async move { send_event(&to, worker_event(seen)).await })
            },
        ));
        let store = self.store.clone();
        let to = address.clone();
        let settings = self.settings.clone();
        tokio::spawn(async move { peers::register_instance(&store, &settings, &to).await });
    }

    pub(super) fn watch_jobs(
        &self,
        shard: &str,
        token: u64,
        from: u64,
    ) -> Option<tokio::task::AbortHandle> {
        let address = self.address.clone()?;
        let watched = WatchTarget {
            table: keys::jobs_table(shard),
            part: shard.to_owned(),
            wait: LIST_WAIT,
            gap: Duration::ZERO,
        };
        let shard = shard.to_owned();
        let sink = move |seen| -> crate::commands::BoxFuture<()> {
            let (WatchEvent::All(rows) | WatchEvent::Changed(rows)) = seen;
            let event = Event::JobRows(shard.clone(), token, rows);
            let address = address.clone();
            Box::pin(async move { send_event(&address, event).await })
        };
        let follow = watch::watch_table(self.store.clone(), watched, Some(from), sink);
        Some(tokio::spawn(follow).abort_handle())
    }

    pub(super) fn sinks(&self, shard: &str, token: u64) -> Option<Sinks> {
        let address = self.address.clone()?;
        let to = address.clone();
        let name = shard.to_owned();
        let ask = move |worker: String| -> crate::commands::BoxFuture<Option<ReportRequest>> {
            let message = NextReportRequest(name.clone(), token, worker);
            let to = to.clone();
            Box::pin(async move { to.send(message).await.ok().flatten() })
        };
        let to = address.clone();
        let name = shard.to_owned();
        let report = move |worker: String, r: Report, sent| -> crate::commands::BoxFuture<()> {
            let event = Event::Report(name.clone(), token, worker, r, sent);
            let to = to.clone();
            Box::pin(async move { send_event(&to, event).await })
        };
        let name = shard.to_owned();
        let answer = move |answered| -> crate::commands::BoxFuture<()> {
            let event = Event::CommandResult(name.clone(), token, answered);
            let to = address.clone();
            Box::pin(async move { send_event(&to, event).await })
        };
        Some(Sinks {
            next_report_request: Arc::new(ask),
            report: Arc::new(report),
            command_result: Arc::new(answer),
        })
    }
}

fn config_events(seen: WatchEvent) -> Vec<Event> {
    let (WatchEvent::All(rows) | WatchEvent::Changed(rows)) = seen;
    let configs = rows
        .iter()
        .filter(|row| row.name.key == operator::CONFIG_KEY && !row.deleted);
    let events = configs.filter_map(|row| match operator::read_config(&row.value) {
        Ok(queues) => Some(Event::Config(queues)),
        Err(e) => {
            log::error!("config: ver={}: {e}.", row.ver);
            None
        }
    });
    events.collect()
}

fn worker_event(seen: WatchEvent) -> Event {
    let whole = matches!(seen, WatchEvent::All(_));
    let (WatchEvent::All(rows) | WatchEvent::Changed(rows)) = seen;
    let entry = |row: &Row| {
        let id = row.name.key.clone();
        if row.deleted {
            return (id, None);
        }
        let info = worker_wire::read_entry(&id, &row.value);
        let info = info.inspect_err(|e| log::warn!("list: worker={id} is passed over: {e}."));
        (id, info.ok())
    };
    Event::Workers {
        whole,
        entries: rows.iter().map(entry).collect(),
    }
}
