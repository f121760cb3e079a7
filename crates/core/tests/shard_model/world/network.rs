//! The simulated network between leaders, workers and the store, and the store itself.
//!
//! A leader is addressed by its token, a worker by its index.

use {
    super::{
        Mutant, World,
        beats::Beat,
        leaders::worker_index,
        workers::{Listing, Running},
    },
    marigoldbend_core::sched::{
        deputy::RenewalCall,
        job::{JobId, TaskName},
        journal::{Write, WriteResult},
        loans::{Loan, LoanRequest},
        progress::{PlacementRecord, Progress},
        shard::Command,
        worker::{CommandReply, Report, RunningRow},
    },
    rand::RngExt,
};

/// The maximum delay of a message, in milliseconds.
pub(super) const MAX_DELAY_MS: u64 = 6_100;

/// A leader's request for a worker's report, which also renews the worker's leases and acknowledges
/// ended attempts.
#[derive(Clone, Debug)]
pub(super) struct ReportRequest {
    /// The token of the leader that sent the request.
    pub(super) leader_token: u64,
    /// The index of the worker.
    pub(super) worker: usize,
    /// The fencing token for the worker, derived from the leader's token.
    pub(super) fencing_token: u64,
    /// The number of the newest ended attempt that is acknowledged; zero if none is.
    pub(super) acked_end: u64,
    /// The new end of the leases, on the clock of the incarnation that the leader knows; `None` if they
    /// are not renewed.
    pub(super) until_ms: Option<u64>,
    /// When the request was sent, in milliseconds.
    pub(super) sent_ms: u64,
    /// The incarnation of the worker to which the connection was opened, as its `started_ms`;
    /// `None` for a new connection.
    pub(super) incarnation: Option<u64>,
}

/// A message between a leader and a worker or the store.
#[derive(Clone, Debug)]
pub(super) enum Message {
    /// A command to a worker: the leader's token, the worker's index, the command, and the worker's
    /// incarnation (its `started_ms`) when the command was sent.
    Command(u64, usize, Command, u64),
    /// A worker's reply: the leader's token, the command, and the reply; `Silent` stands for a
    /// timeout at the leader.
    CommandReply(u64, Command, CommandReply),
    /// A request for a worker's report.
    ReportRequest(ReportRequest),
    /// A worker's report: the leader's token, the worker's index, the report, and when the request
    /// was sent, in milliseconds.
    Report(u64, usize, Report, u64),
    /// A deputy's request for a loan: the index of the deputy, and the request.
    LoanRequest(usize, LoanRequest),
    /// A leader's loan: the index of the deputy, the request and the loan.
    Loan(usize, LoanRequest, Loan),
    /// A deputy's call to a worker: the index of the deputy, the call, and when it was sent.
    RenewalCall(usize, RenewalCall, u64),
    /// A worker's reply to a deputy: its index, the call, when that was sent, and the worker's start and
    /// clock; `None` if the worker refused the call.
    RenewalReply(usize, RenewalCall, u64, Option<(u64, u64)>),
    /// A write to the store: the leader's token, the write, and whether the leader's wait for the
    /// result times out before the write arrives.
    Write(u64, Write, bool),
    /// A leader's heartbeat to the store.
    Beat(Beat),
    /// The result of a heartbeat: the leader's token, the number of the heartbeat, whether it was applied,
    /// and the version of the stored one; `None` stands for a timeout at the leader.
    BeatResult(u64, u64, Option<(bool, u64)>),
    /// The result of a write: the leader's token, the write, and the result; `Unknown` stands for a
    /// timeout at the leader.
    Written(u64, Write, WriteResult),
}

impl World {
    /// Sends a message, which may be lost, or be delayed beyond the sender's timeout of 400 ms. In
    /// both cases the sender of a command or a write gets a timeout instead of a reply.
    ///
    /// Messages to a worker otherwise take less than 20 ms, those to the store less than 60 ms.
    pub(super) fn send(&mut self, message: Message, to_worker: bool) {
        let delay_ms = self.rng.random_range(1..if to_worker { 20 } else { 60 });
        let late = self.chance_per_mille(15);
        let lost = self.chance_per_mille(15);
        if late || lost {
            let timeout = match &message {
                Message::Command(leader_token, _, command, _) => Some(Message::CommandReply(
                    *leader_token,
                    command.clone(),
                    CommandReply::Silent,
                )),
                Message::Write(leader_token, write, _) => Some(Message::Written(
                    *leader_token,
                    write.clone(),
                    WriteResult::Unknown,
                )),
                _ => None,
            };
            if let Some(timeout) = timeout {
                self.messages.push((self.now_ms + 400, timeout));
            }
            if lost {
                return;
            }
        }
        let message = match message {
            Message::Write(leader_token, write, _) => Message::Write(leader_token, write, late),
            other => other,
        };
        let delay_ms = if late {
            delay_ms + self.rng.random_range(500..6_000)
        } else {
            delay_ms
        };
        self.messages.push((self.now_ms + delay_ms, message));
    }

    /// Delivers a message to its recipient; messages to a paused leader wait until the pause ends.
    pub(super) fn deliver(&mut self, message: Message) {
        if let Message::CommandReply(leader_token, ..)
        | Message::Report(leader_token, ..)
        | Message::BeatResult(leader_token, ..)
        | Message::Written(leader_token, ..) = &message
        {
            let leader = self.leaders.iter().find(|l| l.token == *leader_token);
            let paused_until_ms = leader.map_or(0, |l| l.paused_until_ms);
            if paused_until_ms > self.now_ms {
                // The message waits in the socket of the paused process.
                return self.messages.push((paused_until_ms, message));
            }
        }
        match message {
            Message::Command(leader_token, worker_index, command, incarnation) => {
                // A restarted worker that no leader has reached yet would carry out a delayed
                // command that was sent to its previous incarnation. Nothing can prevent that in
                // the product, see docs/DESIGN.md, so the model drops such a command. The worker's
                // `highest_token` is above zero once a leader has reached its current incarnation.
                let worker = &self.workers[worker_index];
                if worker.started_ms == incarnation || worker.highest_token > 0 {
                    self.handle_command(leader_token, worker_index, command);
                }
            }
            Message::ReportRequest(request) => self.handle_report_request(&request),
            Message::LoanRequest(deputy, request) => self.handle_loan_request(deputy, request),
            Message::Loan(deputy, request, loan) => self.handle_loan(deputy, &request, loan),
            Message::RenewalCall(deputy, call, sent_ms) => {
                self.handle_renewal(deputy, call, sent_ms)
            }
            Message::RenewalReply(deputy, call, sent_ms, reply) => {
                self.handle_renewal_reply(deputy, &call, sent_ms, reply)
            }
            Message::Beat(beat) => self.handle_beat(beat),
            Message::BeatResult(leader_token, round, result) => {
                self.handle_beat_result(leader_token, round, result)
            }
            Message::Write(leader_token, write, timed_out) => {
                self.handle_write(leader_token, write, timed_out)
            }
            Message::CommandReply(leader_token, command, reply) => {
                let now = self.instant_at(self.now_ms);
                let Some(leader) = self.active_leader(leader_token) else {
                    return;
                };
                leader.shard.on_command_reply(&command, reply, now);
                if leader.shard.is_fenced() {
                    leader.alive = false;
                }
            }
            Message::Report(leader_token, worker_index, report, sent_ms) => {
                let (now, sent_at, unix_ms) = (
                    self.instant_at(self.now_ms),
                    self.instant_at(sent_ms),
                    self.now_ms,
                );
                if self.is_cut_from(worker_index) {
                    return;
                }
                if let Some(leader) = self.active_leader(leader_token) {
                    leader.incarnations[worker_index] = Some(report.started_ms);
                    let id = format!("w{worker_index}");
                    if let Some((restoring, _)) = &mut leader.restoring {
                        restoring.on_report(&id, report, sent_at, now);
                    } else {
                        leader.shard.on_report(&id, &report, sent_at, now, unix_ms);
                    }
                }
            }
            Message::Written(leader_token, write, result) => {
                let now = self.instant_at(self.now_ms);
                if let Some(leader) = self.active_leader(leader_token) {
                    leader
                        .journal
                        .on_write_result(&mut leader.shard, write.batch, result, now);
                }
            }
        }
    }

    /// Applies a write in the store and sends the result; no result is sent if `timed_out`.
    pub(super) fn handle_write(&mut self, leader_token: u64, write: Write, timed_out: bool) {
        if self.is_leader_cut_off(leader_token) {
            if !timed_out {
                let unknown = Message::Written(leader_token, write, WriteResult::Unknown);
                self.messages.push((self.now_ms + 400, unknown));
            }
            return;
        }
        if leader_token != self.lease_token {
            // The lease row has changed, so the store rejects the write and the leader stops.
            if let Some(leader) = self.active_leader(leader_token) {
                leader.alive = false;
            }
            return;
        }
        let result = if write.head_version == self.head_row.0
            || self.mutant == Mutant::UnconditionalWrites
        {
            self.store_version += 1;
            self.head_row = (self.store_version, Some(write.mark));
            for (id, row) in &write.batch.rows {
                self.store_row(*id, row);
            }
            if let Some(workers_in_use) = &write.batch.workers_in_use {
                self.workers_in_use.clone_from(workers_in_use);
                self.workers_in_use.sort();
                if self.mutant == Mutant::RemoveWorkersWithRuns {
                    let workers = &self.workers;
                    let is_ready = |i: usize| workers[i].listing == Listing::Ready;
                    self.workers_in_use
                        .retain(|(id, _)| is_ready(worker_index(id)));
                }
            }
            WriteResult::Applied(self.store_version)
        } else {
            WriteResult::Superseded(self.head_row.0, self.head_row.1)
        };
        if !timed_out {
            self.messages.push((
                self.now_ms + 10,
                Message::Written(leader_token, write, result),
            ));
        }
    }

    /// Stores the progress row of a job.
    fn store_row(&mut self, id: JobId, row: &[u8]) {
        let mut row = row.to_vec();
        if self.mutant == Mutant::RestartBeforeStore
            && let Some(stored) = self.rows.get(&id)
        {
            // The leader believes that the removal of a placement is stored.
            let stored = Progress::decode(stored).expect("a stored row decodes");
            let mut progress = Progress::decode(&row).expect("a row decodes");
            for placement in stored.placements {
                let is_same = |p: &PlacementRecord| p.index == placement.index;
                if !progress.placements.iter().any(is_same) {
                    progress.placements.push(placement);
                }
            }
            row = progress.encode();
        }
        self.rows.insert(id, row);
    }

    /// Carries out a command on a worker and sends the reply, which may be lost.
    pub(super) fn handle_command(
        &mut self,
        leader_token: u64,
        worker_index: usize,
        command: Command,
    ) {
        if !self.is_reachable(leader_token, worker_index) {
            let timeout = Message::CommandReply(leader_token, command, CommandReply::Silent);
            self.messages.push((self.now_ms + 400, timeout));
            return;
        }
        let reply = match &command {
            Command::Start {
                task,
                attempt,
                until_ms,
                token,
                ..
            } => self.start(worker_index, *task, *attempt, *until_ms, *token),
            Command::Stop {
                task,
                attempt,
                token,
                ..
            } => self.stop(worker_index, *task, *attempt, *token),
            _ => CommandReply::Ok,
        };
        if !self.chance_per_mille(10) {
            let delay_ms = self.rng.random_range(1..20);
            let reply = Message::CommandReply(leader_token, command, reply);
            self.messages.push((self.now_ms + delay_ms, reply));
        } else {
            let timeout = Message::CommandReply(leader_token, command, CommandReply::Silent);
            self.messages.push((self.now_ms + 400, timeout));
        }
    }

    /// Handles a report request at a worker and sends the report, which may be lost.
    pub(super) fn handle_report_request(&mut self, request: &ReportRequest) {
        let (leader_token, worker_index) = (request.leader_token, request.worker);
        let incarnation = self.workers[worker_index].started_ms;
        let acks_across_restart = self.mutant == Mutant::AckAcrossRestart;
        if request
            .incarnation
            .is_some_and(|connected_to| connected_to != incarnation)
            && !acks_across_restart
        {
            // The connection was closed when the worker restarted.
            if let Some(leader) = self.leaders.iter_mut().find(|l| l.token == leader_token) {
                leader.incarnations[worker_index] = None;
            }
            return;
        }
        if !self.is_reachable(leader_token, worker_index) {
            return;
        }
        let fencing = self.mutant != Mutant::NoFencing;
        let max_lease = self.max_lease();
        let worker = &mut self.workers[worker_index];
        if fencing && request.fencing_token < worker.highest_token {
            if let Some(leader) = self.active_leader(leader_token) {
                leader.alive = false;
            }
            return;
        }
        worker.highest_token = worker.highest_token.max(request.fencing_token);
        self.acknowledge(worker_index, request.acked_end);
        let worker = &mut self.workers[worker_index];
        if let Some(until_ms) = request.until_ms {
            worker.renew(until_ms, max_lease, self.now_ms);
        }
        let row = |(task, r): (&TaskName, &Running)| RunningRow {
            task: *task,
            attempt: r.attempt,
            checkpoint: String::new(),
            percent: (self.now_ms % 100) as f64,
            usage: None,
        };
        let report = Report {
            started_ms: worker.started_ms,
            clock_ms: worker.clock.reading_ms(self.now_ms),
            running: worker.running.iter().map(row).collect(),
            finished: worker
                .finished
                .iter()
                .take(self.max_listed_ends)
                .cloned()
                .collect(),
        };
        if !self.chance_per_mille(15) {
            let delay_ms = self.rng.random_range(1..20);
            let report = Message::Report(leader_token, worker_index, report, request.sent_ms);
            self.messages.push((self.now_ms + delay_ms, report));
        }
    }
}
