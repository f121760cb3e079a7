//! Carries out what the state machine of a led shard requests: it sends commands, writes rows,
//! moves jobs and requests approvals.

use super::*;

/// How much longer than [`Settings::keep`] the rows of a finished job are kept.
const RETENTION_MARGIN: Duration = Duration::from_secs(20);

/// The time limit of a request to the approval service.
const APPROVAL_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Control {
    /// Polls a led shard, sends its commands and writes its rows.
    pub(super) fn advance_shard(&mut self, shard: &str, now: Instant) {
        let unix_ms = unix_ms();
        let Some(leader) = self.led_shards.get_mut(shard) else {
            return;
        };
        let token = leader.token;
        let commands = leader.dispatch_commands(now, unix_ms);
        let write = leader.next_write(now);
        let Some(address) = self.address.clone() else {
            return;
        };
        if leader.shard.has_changed() && !leader.wake_scheduled {
            leader.wake_scheduled = true;
            let wait = leader
                .shard
                .next_dispatch_at()
                .saturating_duration_since(now);
            let to = address.clone();
            let shard = shard.to_owned();
            tokio::spawn(async move {
                sleep(wait).await;
                send_event(&to, Event::Wake(shard, token)).await;
            });
        }
        if let Some((batch, tx)) = write {
            let store = self.store.clone();
            let to = address.clone();
            let shard = shard.to_owned();
            tokio::spawn(async move {
                let result = store.tx(&tx).await;
                send_event(&to, Event::Written(shard, token, batch, result)).await;
            });
        }
        for command in commands {
            match command {
                Command::RequestApprovals { task, workers } => {
                    self.request_approvals(shard, token, task, workers, &address);
                }
                Command::Move { job, spec } => self.move_job(shard, token, job, &spec, &address),
                // `dispatch_commands` has sent these to the workers.
                Command::Start { .. } | Command::Stop { .. } | Command::Throttle { .. } => {}
            }
        }
    }

    /// Starts to move a job to the least loaded shard that can run it; [`Event::MoveResult`]
    /// delivers the result.
    pub(super) fn move_job(
        &self,
        shard: &str,
        token: u64,
        job: JobId,
        spec: &JobSpec,
        address: &Address<Self>,
    ) {
        let view = self.view.load();
        let target = view.choose_shard("", spec);
        let lease_version = self.led_shards.get(shard).map(|l| l.lease_version);
        let to = address.clone();
        let from = shard.to_owned();
        let target_leader = view.leaders.get(&target).filter(|_| target != shard);
        let (Some(lease_version), Some(target_leader)) = (lease_version, target_leader) else {
            tokio::spawn(async move {
                send_event(&to, Event::MoveResult(from, token, job, false)).await
            });
            return;
        };
        let tx = keys::move_job(
            (&from, lease_version),
            (&target, target_leader.token, target_leader.lease_version),
            job,
            spec,
        );
        let store = self.store.clone();
        let mut uncertain = false;
        tokio::spawn(async move {
            // After a write without a reply the job may be in either shard, so the write is
            // repeated until the store replies.
            let mut backoff = Backoff::new();
            let result = loop {
                match store.tx(&tx).await {
                    Ok(outcome) => break Ok(outcome),
                    Err(StoreError::NotApplied) if !uncertain => break Err(StoreError::NotApplied),
                    Err(e) => uncertain |= e != StoreError::NotApplied,
                }
                let wait = backoff.next(&mut rand::rng());
                sleep(wait).await;
            };
            log::info!("lead: job={job} shard={from} move to {target}: {result:?}.");
            let succeeded = matches!(result, Ok(TxOutcome::Applied(_)));
            send_event(&to, Event::MoveResult(from, token, job, succeeded)).await;
        });
    }

    /// Forwards the cancellation of a job that was moved to another shard, with retries until the
    /// store accepts it.
    pub(super) fn forward_cancel(&self, shard: &str, job: JobId) {
        let store = self.store.clone();
        let shard = shard.to_owned();
        tokio::spawn(async move {
            let mut backoff = Backoff::new();
            loop {
                let forwarded = takeover::forward_cancel(&store, &shard, job).await;
                match forwarded {
                    Ok(to) => {
                        break log::info!(
                            "lead: job={job} shard={shard} cancellation forwarded to {to:?}."
                        );
                    }
                    Err(e) => {
                        log::warn!("lead: job={job} cancellation not forwarded, retrying: {e}.")
                    }
                }
                let wait = backoff.next(&mut rand::rng());
                sleep(wait).await;
            }
        });
    }

    /// Requests approvals to run a task on some of `workers`; [`Event::Approvals`] delivers them.
    pub(super) fn request_approvals(
        &self,
        shard: &str,
        token: u64,
        task: TaskName,
        workers: Vec<String>,
        address: &Address<Self>,
    ) {
        let Some(approval_service) = self.approval_service.clone() else {
            log::warn!(
                "jobs: task={task} needs an approval, but no approval service is configured."
            );
            return;
        };
        let to = address.clone();
        let shard = shard.to_owned();
        tokio::spawn(async move {
            let request = worker_wire::request_approvals(task, &workers);
            let sent_at = Instant::now();
            let limits = TimeLimits::total(APPROVAL_TIMEOUT);
            let reply = approval_service.exchange(request, limits).await;
            let Ok(reply) = reply
                .inspect_err(|e| log::info!("jobs: task={task} approval request failed: {e}."))
            else {
                return;
            };
            match worker_wire::read_approvals(&reply.body) {
                Ok((rows, valid_ms)) if reply.status.is_success() => {
                    let valid_for =
                        Duration::from_millis(valid_ms).saturating_sub(sent_at.elapsed());
                    send_event(&to, Event::Approvals(shard, token, task, rows, valid_for)).await;
                }
                _ => log::info!(
                    "jobs: task={task} approval reply can't be used: status={}.",
                    reply.status
                ),
            }
        });
    }

    /// Passes the outcome of a write to a led shard, and resigns the shard if the outcome shows
    /// another leader.
    pub(super) fn on_write_result(
        &mut self,
        shard: &str,
        batch: Batch,
        result: &Result<TxOutcome, StoreError>,
        now: Instant,
    ) {
        let Some(leader) = self.led_shards.get_mut(shard) else {
            return;
        };
        if !leader.on_write_result(batch, result, now) {
            self.resign(shard, "another instance leads the shard");
            if let Some(leadership) = self.leadership.get_mut(shard) {
                leadership.leader = None;
            }
        }
    }

    /// Deletes the rows of jobs in led shards that finished longer ago than they must be kept.
    pub(super) fn expire_jobs(&mut self) {
        let keep = self.settings.keep + RETENTION_MARGIN;
        let before_ms = unix_ms().saturating_sub(keep.as_millis() as u64);
        for leader in self.led_shards.values_mut() {
            if let Some(tx) = leader.expire_jobs(before_ms) {
                let store = self.store.clone();
                tokio::spawn(async move {
                    if let Err(e) = store.tx(&tx).await {
                        log::warn!("lead: deleting the rows of finished jobs failed: {e}.");
                    }
                });
            }
        }
    }
}
