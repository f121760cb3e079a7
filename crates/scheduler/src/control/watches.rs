//! Starts the watches of the store, and creates the callbacks with which watches and worker links
//! send events to the control thread.

use super::*;

/// How long one call waits for changes of the configuration. A new configuration must be in force
/// within 2 s.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);

/// How long one call waits for changes of the list of workers or the jobs of a shard.
const LIST_WAIT: Duration = Duration::from_millis(1_500);

/// The pause between two calls for the list of workers, whose entries change with every heartbeat.
const LIST_PAUSE: Duration = Duration::from_millis(800);

impl Control {
    /// Starts the watches of the configuration and the list of workers, and registers this
    /// instance.
    pub(super) fn start_watches(&self, address: &Address<Self>) {
        let operator_table = WatchTarget {
            table: wire::OPERATOR_TABLE.to_owned(),
            part: String::new(),
            long_poll_timeout: CONFIG_WAIT,
            pause_between_polls: Duration::ZERO,
            wake: None,
            catch_up: CatchUp::Rows,
        };
        let to = address.clone();
        tokio::spawn(watch::watch_table(
            self.store.clone(),
            operator_table,
            None,
            move |update| {
                let event = config_event(update);
                let to = to.clone();
                Box::pin(async move { deliver_urgent_event(&to, event).await })
            },
        ));
        let worker_list = WatchTarget {
            table: wire::WORKERS_TABLE.to_owned(),
            part: String::new(),
            long_poll_timeout: LIST_WAIT,
            pause_between_polls: LIST_PAUSE,
            wake: Some(self.list_wake.clone()),
            catch_up: CatchUp::Changes,
        };
        let to = address.clone();
        let mut invalid_entries = HashMap::default();
        tokio::spawn(watch::watch_table(
            self.store.clone(),
            worker_list,
            None,
            move |update| {
                let to = to.clone();
                let event = worker_event(update.event, &mut invalid_entries);
                Box::pin(async move {
                    if let Some(event) = event {
                        deliver_event(&to, event).await;
                    }
                })
            },
        ));
        let store = self.store.clone();
        let to = address.clone();
        let settings = self.settings.clone();
        tokio::spawn(async move { peers::register_instance(&store, &settings, &to).await });
    }

    /// Starts to watch the job table of a led shard for changes after `after_version`.
    pub(super) fn watch_jobs(
        &self,
        shard: &str,
        token: u64,
        after_version: u64,
    ) -> Option<tokio::task::AbortHandle> {
        let address = self.address.clone()?;
        let target = WatchTarget {
            table: keys::jobs_table(shard),
            part: shard.to_owned(),
            long_poll_timeout: LIST_WAIT,
            pause_between_polls: Duration::ZERO,
            wake: None,
            catch_up: CatchUp::Changes,
        };
        let shard = shard.to_owned();
        let callback = move |update: Update| -> crate::commands::BoxFuture<()> {
            let is_full_list = matches!(update.event, WatchEvent::All(_));
            let (WatchEvent::All(rows) | WatchEvent::Changed(rows)) = update.event;
            let has_rows = !rows.is_empty();
            let event = Event::JobRows(shard.clone(), token, is_full_list, rows);
            let address = address.clone();
            Box::pin(async move {
                if has_rows || is_full_list {
                    deliver_event(&address, event).await;
                }
            })
        };
        let watch_task =
            watch::watch_table(self.store.clone(), target, Some(after_version), callback);
        Some(tokio::spawn(watch_task).abort_handle())
    }

    /// Returns callbacks that send events about a led shard to this actor.
    pub(super) fn callbacks(&self, shard: &str, token: u64) -> Option<Callbacks> {
        let address = self.address.clone()?;
        let to = address.clone();
        let name = shard.to_owned();
        let next_report_request =
            move |worker: String| -> crate::commands::BoxFuture<Option<ReportRequest>> {
                let message = NextReportRequest(name.clone(), token, worker);
                let to = to.clone();
                Box::pin(async move { to.send(message).await.ok().flatten() })
            };
        let to = address.clone();
        let name = shard.to_owned();
        let report =
            move |worker: String, r: Option<Report>, sent_at| -> crate::commands::BoxFuture<()> {
                let (name, worker) = (name.clone(), worker);
                let event = match r {
                    Some(r) => Event::Report(name, token, worker, r, sent_at),
                    None => Event::ConnectionLost(name, token, worker),
                };
                let to = to.clone();
                // The next request must not be prepared by what was known before this report: it may
                // be the first one of another incarnation.
                Box::pin(async move { deliver_event(&to, event).await })
            };
        let name = shard.to_owned();
        let command_result = move |result| -> crate::commands::BoxFuture<()> {
            let event = Event::CommandResult(name.clone(), token, result);
            let to = address.clone();
            Box::pin(async move { send_event(&to, event).await })
        };
        Some(Callbacks {
            next_report_request: Arc::new(next_report_request),
            report: Arc::new(report),
            command_result: Arc::new(command_result),
        })
    }
}

/// Returns the event for an update of the operator's table, with the newest valid configuration in
/// the update, and the evacuations there.
fn config_event(update: Update) -> Event {
    let is_full_list = matches!(update.event, WatchEvent::All(_));
    let (WatchEvent::All(rows) | WatchEvent::Changed(rows)) = update.event;
    let evacuations = rows.iter().filter_map(|row| {
        let domain = operator::evacuated_domain(&row.name.key)?;
        Some((domain.to_owned(), !row.deleted))
    });
    let evacuations = EvacuationUpdate {
        is_full_list,
        domains: evacuations.collect(),
    };
    let configs = rows
        .iter()
        .filter(|row| row.name.key == operator::CONFIG_KEY && !row.deleted);
    let configs = configs.filter_map(|row| {
        let queues = operator::read_config(&row.value);
        let queues = queues
            .inspect_err(|e| log::error!("config: ver={} is ignored: {e}.", row.version))
            .ok()?;
        log::info!(
            "config: read version={} ver={} bytes={}.",
            queues.version,
            row.version,
            row.value.len()
        );
        Some(queues)
    });
    Event::Config {
        newest: configs.max_by_key(|queues| queues.version),
        as_of: update.as_of,
        evacuations,
    }
}

/// Returns the event for an update of the list of workers; `None` if nothing has changed.
///
/// `invalid_entries` has the problem of each entry that was not valid when it was last read; only
/// another problem is logged.
fn worker_event(
    watch_event: WatchEvent,
    invalid_entries: &mut HashMap<String, String>,
) -> Option<Event> {
    let is_full_list = matches!(watch_event, WatchEvent::All(_));
    let (WatchEvent::All(rows) | WatchEvent::Changed(rows)) = watch_event;
    if rows.is_empty() && !is_full_list {
        return None;
    }
    let mut entries = Vec::with_capacity(rows.len());
    for row in &rows {
        let id = &row.name.key;
        let info = (!row.deleted).then(|| worker_wire::read_entry(id, &row.value));
        match &info {
            Some(Err(e)) => {
                let problem = e.to_string();
                if invalid_entries.get(id) != Some(&problem) {
                    log::warn!("list: worker={id} has an invalid entry and is not used: {e}.");
                    invalid_entries.insert(id.clone(), problem);
                }
            }
            Some(Ok(_)) | None => drop(invalid_entries.remove(id)),
        }
        entries.push((id.clone(), info.and_then(Result::ok)));
    }
    Some(Event::Workers {
        is_full_list,
        entries,
    })
}
