//! The reports of workers: runs that are confirmed, found or lost.

use {
    super::state::{Command, Run, RunPhase, Shard, TOKENS_PER_LEADER},
    crate::{
        hash::HashSet,
        sched::{
            job::TaskName,
            worker::{LeaseClock, Report, RunningRow},
        },
    },
    std::time::Instant,
};

impl Shard {
    /// Processes a worker's report, which was requested at `sent_at` and arrived at `now`.
    ///
    /// `unix_ms` is the current Unix time in milliseconds.
    pub fn on_report(
        &mut self,
        worker_id: &str,
        report: &Report,
        sent_at: Instant,
        now: Instant,
        unix_ms: u64,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let is_first_report = worker.answered_at.is_none();
        if report.started_ms != worker.info.started_ms {
            let previous = std::mem::replace(&mut worker.info.started_ms, report.started_ms);
            let address = worker.info.address.clone();
            self.observe_process(worker_id, &address, report.started_ms);
            if !is_first_report && previous != report.started_ms {
                self.on_worker_restarted(worker_id, report, sent_at, now);
            }
        }
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker
            .clock
            .on_report(report.clock_ms, sent_at, now, self.params.max_lease);
        if !is_first_report && !worker.is_responsive(now) {
            // What showed no progress meanwhile had no report to show it in.
            let runs = worker.runs.values_mut();
            runs.for_each(|run| run.progressed_at = now);
        }
        worker.answered_at = Some(now);
        worker.earlier_leases_until = None;
        worker.connection_lost_at = None;
        self.changed |= is_first_report;
        self.processes
            .add_observation(&worker.info.address, report.started_ms, true);
        let last_processed = worker.last_reported_end;
        let ends = report
            .finished
            .iter()
            .filter(|row| row.number > last_processed);
        for row in ends {
            self.on_run_ended(worker_id, row, now, unix_ms);
        }
        let newest = report.finished.iter().map(|row| row.number).max();
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.last_reported_end = worker.last_reported_end.max(newest.unwrap_or(0));
        }
        for row in &report.running {
            self.on_run_reported(worker_id, row, sent_at, now);
        }
        if let Some(worker) = self.workers.get_mut(worker_id) {
            let is_unaccounted = |row: &RunningRow| !worker.runs.contains_key(&row.task);
            worker.has_unaccounted_runs = report.running.iter().any(is_unaccounted);
        }
        self.note_omitted_ends(worker_id, report, is_first_report);
        self.lose_unreported_runs(worker_id, report, sent_at, now);
        self.observe_tails(worker_id, report, now);
    }

    /// Handles the first report of a worker after its restart, which was requested at `sent_at`.
    ///
    /// Runs are treated as lost unless the report lists them, or leaves out ended attempts, or they were
    /// confirmed after it was requested. Runs with a copy of the start command that has no reply are stopped.
    fn on_worker_restarted(
        &mut self,
        worker_id: &str,
        report: &Report,
        sent_at: Instant,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let former_clock_ms = worker.clock.lease_bounds(now).map(|(clock_ms, _)| clock_ms);
        log::warn!(
            "jobs: worker={worker_id} restarted, its earlier runs are lost: started_ms={} clock_ms={} former_clock_ms={former_clock_ms:?}.",
            report.started_ms,
            report.clock_ms,
        );
        self.processes.counts.restarts += 1;
        worker.incarnations += 1;
        let has_higher_token = worker.incarnations < TOKENS_PER_LEADER;
        worker.clock = LeaseClock::after_restart(self.params.max_lease, has_higher_token, now);
        worker.is_settled = false;
        self.awaits_entry |= !worker.has_current_entry();
        worker.last_reported_end = 0;
        worker.last_acked_end = 0;
        worker.omits_inherited_ends = false;
        worker.ends = Default::default();
        worker.ejected_until = None;
        worker.refused_until = None;
        worker.doubted_until = None;
        worker.progressed_at = None;
        worker.stalls.clear();
        worker.throttles.clear();
        let is_reported = |task: &TaskName, attempt| {
            let same = |row: &RunningRow| row.task == *task && row.attempt == attempt;
            report.running.iter().any(same)
        };
        // Runs that were confirmed after the report was requested may belong to the new
        // incarnation, and so may their ends that the report leaves out.
        let omits_ends = report.finished.len() >= self.params.max_listed_ends;
        let may_be_new = |run: &Run| match run.phase {
            RunPhase::Sent => false,
            RunPhase::Running(at) if at >= sent_at => true,
            RunPhase::Running(_) | RunPhase::Stopping(_) => omits_ends,
        };
        let runs = worker.runs.iter_mut();
        let runs = runs.filter(|(task, run)| !is_reported(task, run.attempt) && !may_be_new(run));
        let runs = runs.map(|(task, run)| {
            run.in_doubt |= run.phase == RunPhase::Sent;
            run.is_recorded_loss = run.phase != RunPhase::Sent && run.has_stray_start;
            (*task, run.phase == RunPhase::Sent || run.has_stray_start)
        });
        let runs: Vec<_> = runs.collect();
        let names: Vec<_> = runs.iter().map(|(task, _)| *task).collect();
        self.record_losses(worker_id, &names, now);
        for (task, may_start_late) in runs {
            if may_start_late {
                // The new incarnation may still execute the start command; the stop prevents that. One
                // that was sent to a former incarnation does not.
                self.stop_run_again(worker_id, task);
            } else {
                self.lose_run(worker_id, task, "the worker restarted", now);
            }
        }
    }

    /// Processes an entry for a running attempt in a worker's report, which was requested at
    /// `sent_at`.
    fn on_run_reported(
        &mut self,
        worker_id: &str,
        row: &RunningRow,
        sent_at: Instant,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if let Some(run) = worker.runs.get_mut(&row.task)
            && run.attempt == row.attempt
        {
            let is_unconfirmed = run.phase == RunPhase::Sent;
            if is_unconfirmed {
                run.phase = RunPhase::Running(now);
                run.in_doubt = false;
                if let Some(job) = self.jobs.get_mut(&row.task.job) {
                    job.started = true;
                }
            }
            if row.percent != run.progress_percent {
                let is_progress = run.progress_percent >= 0.0 && row.percent > run.progress_percent;
                run.progress_percent = row.percent;
                run.progressed_at = now;
                run.pace.record(row.percent, now);
                if is_progress && !run.is_long_running {
                    worker.progressed_at = Some(now);
                }
            }
            if !row.checkpoint.is_empty() {
                // A new checkpoint shows progress, too.
                if row.checkpoint != run.checkpoint {
                    run.progressed_at = now;
                }
                row.checkpoint.clone_into(&mut run.checkpoint);
            }
            if is_unconfirmed {
                self.on_run_confirmed(worker_id, row.task, now);
            }
            return;
        }
        if let Some(run) = worker.runs.get_mut(&row.task) {
            // The worker runs another attempt of the task, such as an earlier one. That attempt
            // replaces the expected one: it continues, or is stopped if the run is being stopped.
            run.attempt = row.attempt;
            if matches!(run.phase, RunPhase::Stopping(_)) {
                run.phase = RunPhase::Running(now);
                self.stop_run(worker_id, row.task);
            } else {
                run.phase = RunPhase::Running(now);
            }
            return;
        }
        self.adopt(worker_id, row, sent_at, now);
    }

    /// Adds a reported run that this leader has not started, or stops it if it is not needed.
    fn adopt(&mut self, worker_id: &str, row: &RunningRow, sent_at: Instant, now: Instant) {
        let is_needed = self.needs_run(row.task);
        self.add_occurrence_of(row.task);
        let token = self.worker_token(worker_id);
        if is_needed {
            log::info!(
                "jobs: task={} attempt={} worker={worker_id} found running, adding it.",
                row.task,
                row.attempt,
            );
            self.add_run(
                worker_id,
                row.task,
                row.attempt,
                RunPhase::Running(sent_at),
                now,
            );
            if let Some(job) = self.jobs.get_mut(&row.task.job) {
                job.started = true;
            }
            self.on_run_confirmed(worker_id, row.task, now);
            return;
        }
        // Stop commands are idempotent. If this one gets lost, the next report lists the run again
        // and the run is stopped again.
        self.commands.push(Command::Stop {
            worker: worker_id.to_owned(),
            task: row.task,
            attempt: row.attempt,
            token,
        });
        log::info!(
            "jobs: task={} attempt={} worker={worker_id} is not needed, stopping it.",
            row.task,
            row.attempt,
        );
    }

    /// Records whether a worker's report may leave out ended attempts, as it does while too many are
    /// not acknowledged.
    fn note_omitted_ends(&mut self, worker_id: &str, report: &Report, is_first_report: bool) {
        let limit = self.params.max_listed_ends;
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let omits_ends = report.finished.len() >= limit;
        if omits_ends != worker.omits_ends {
            log::info!(
                "jobs: worker={worker_id} lists {} ended attempts of at most {limit}, up to n={}: newer ones are {}.",
                report.finished.len(),
                worker.last_reported_end,
                if omits_ends { "unknown" } else { "listed" },
            );
        }
        worker.omits_ends = omits_ends;
        let had_omitted = worker.omits_inherited_ends;
        worker.omits_inherited_ends = omits_ends && (is_first_report || had_omitted);
        self.changed |= had_omitted && !omits_ends;
    }

    /// Treats runs as lost that were confirmed before the report was requested at `sent_at` but are
    /// not in the report.
    ///
    /// If the report may leave out ended attempts, only long-running tasks are treated so, which
    /// restart however they end. Another run may be done, and stays until its end is listed.
    fn lose_unreported_runs(
        &mut self,
        worker_id: &str,
        report: &Report,
        sent_at: Instant,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let omits_ends = worker.omits_ends;
        let reported: HashSet<_> = report.running.iter().map(|r| (r.task, r.attempt)).collect();
        let mut lost = Vec::new();
        for (task, run) in &mut worker.runs {
            let confirmed_at = match run.phase {
                RunPhase::Sent | RunPhase::Stopping(None) => None,
                RunPhase::Running(at) | RunPhase::Stopping(Some(at)) => Some(at),
            };
            let has_ended = confirmed_at.is_some_and(|at| at < sent_at)
                && !reported.contains(&(*task, run.attempt));
            run.has_unlisted_end = has_ended && omits_ends && !run.is_long_running;
            if has_ended && !run.has_unlisted_end {
                let is_former = run.process_started_ms < report.started_ms;
                lost.push((*task, is_former && !run.is_recorded_loss));
            }
        }
        // The worker confirmed these and restarted before it sent the first report after that.
        let crashed = lost.iter().filter(|(_, has_crashed)| *has_crashed);
        let crashed: Vec<_> = crashed.map(|(task, _)| *task).collect();
        self.record_losses(worker_id, &crashed, now);
        for (task, _) in lost {
            self.lose_run(worker_id, task, "the worker does not list it", now);
        }
    }
}
