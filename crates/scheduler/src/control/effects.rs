//! Carrying out what a led shard asks for: orders, writes, moves and questions.

use super::*;

/// What the state of a job that is over is kept longer than it must be.
const EXPIRY_RESERVE: Duration = Duration::from_secs(20);

/// The time limit of a question to the advice service.
const ADVICE_LIMIT: Duration = Duration::from_millis(1_500);

impl Control {
    /// Polls a led shard, sends its orders and writes its rows.
    pub(super) fn advance_shard(&mut self, shard: &str, now: Instant) {
        let unix_ms = unix_ms();
        let Some(led) = self.led_shards.get_mut(shard) else {
            return;
        };
        let token = led.token;
        let rest = led.carry_out(now, unix_ms);
        let write = led.next_write(now);
        let Some(address) = self.address.clone() else {
            return;
        };
        if led.shard.has_changed() && !led.wake_scheduled {
            led.wake_scheduled = true;
            let wait = led.shard.dispatch_at().saturating_duration_since(now);
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
        for command in rest {
            match command {
                Command::RequestApprovals { task, workers } => {
                    self.request_approvals(shard, token, task, workers, &address);
                }
                Command::Move { job, spec } => self.move_job(shard, token, job, &spec, &address),
                // Workers have got theirs.
                Command::Start { .. } | Command::Stop { .. } | Command::Throttle { .. } => {}
            }
        }
    }

    /// Passes a job on to the shard where least is asked for.
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
        let ver = self.led_shards.get(shard).map(|l| l.ver);
        let to = address.clone();
        let from = shard.to_owned();
        let there = view.leaders.get(&target).filter(|_| target != shard);
        let (Some(ver), Some(there)) = (ver, there) else {
            tokio::spawn(
                async move { send_event(&to, Event::JobMoved(from, token, job, false)).await },
            );
            return;
        };
        let tx = keys::move_job((&from, ver), (&target, there.token, there.ver), job, spec);
        let store = self.store.clone();
        let mut unclear = false;
        tokio::spawn(async move {
            // A write without a reply may still take effect: only an answer settles it.
            let mut backoff = Backoff::new();
            let result = loop {
                match store.tx(&tx).await {
                    Ok(outcome) => break Ok(outcome),
                    Err(StoreError::NotApplied) if !unclear => break Err(StoreError::NotApplied),
                    Err(e) => unclear |= e != StoreError::NotApplied,
                }
                let wait = backoff.next(&mut rand::rng());
                sleep(wait).await;
            };
            log::info!("lead: job={job} shard={from} passed on to {target}: {result:?}.");
            let moved = matches!(result, Ok(TxOutcome::Applied(_)));
            send_event(&to, Event::JobMoved(from, token, job, moved)).await;
        });
    }

    /// Passes the cancellation of a job on, which was itself passed on to another shard.
    pub(super) fn forward_cancel(&self, shard: &str, job: JobId) {
        let store = self.store.clone();
        let shard = shard.to_owned();
        tokio::spawn(async move {
            let mut backoff = Backoff::new();
            loop {
                let forwarded = takeover::forward_cancel(&store, &shard, job).await;
                match forwarded {
                    Ok(to) => {
                        break log::info!("lead: job={job} shard={shard} cancel goes to {to:?}.");
                    }
                    Err(e) => log::warn!("lead: job={job} cancel is not passed on yet: {e}."),
                }
                let wait = backoff.next(&mut rand::rng());
                sleep(wait).await;
            }
        });
    }

    pub(super) fn request_approvals(
        &self,
        shard: &str,
        token: u64,
        task: TaskName,
        workers: Vec<String>,
        address: &Address<Self>,
    ) {
        let Some(advice) = self.advice.clone() else {
            log::warn!("jobs: task={task} needs an approval, and no service is set that gives it.");
            return;
        };
        let to = address.clone();
        let shard = shard.to_owned();
        tokio::spawn(async move {
            let out = worker_wire::request_approvals(task, &workers);
            let sent = Instant::now();
            let reply = advice.exchange(out, ADVICE_LIMIT).await;
            let Ok(reply) = reply.inspect_err(|e| log::info!("jobs: task={task} advice: {e}."))
            else {
                return;
            };
            match worker_wire::read_approvals(&reply.body) {
                Ok((rows, valid_ms)) if reply.status.is_success() => {
                    let valid = Duration::from_millis(valid_ms).saturating_sub(sent.elapsed());
                    send_event(&to, Event::Approvals(shard, token, task, rows, valid)).await;
                }
                _ => log::info!("jobs: task={task} advice: status={}.", reply.status),
            }
        });
    }

    pub(super) fn on_write_result(
        &mut self,
        shard: &str,
        batch: Batch,
        result: &Result<TxOutcome, StoreError>,
        now: Instant,
    ) {
        let Some(led) = self.led_shards.get_mut(shard) else {
            return;
        };
        if !led.on_write_result(batch, result, now) {
            self.resign(shard, "another instance leads it");
            if let Some(lease) = self.leases.get_mut(shard) {
                lease.leader = None;
            }
        }
    }

    pub(super) fn expire_jobs(&mut self) {
        let keep = self.settings.keep + EXPIRY_RESERVE;
        let before = unix_ms().saturating_sub(keep.as_millis() as u64);
        for led in self.led_shards.values_mut() {
            if let Some(tx) = led.expire_jobs(before) {
                let store = self.store.clone();
                tokio::spawn(async move {
                    if let Err(e) = store.tx(&tx).await {
                        log::warn!("lead: old rows are not dropped: {e}.");
                    }
                });
            }
        }
    }
}
