//! The simulated network between leaders, workers and the store, and the store itself.

use {
    super::{Mutant, World, workers::Running},
    marigoldbend_core::sched::{
        job::TaskName,
        journal::{Write, WriteResult},
        shard::Command,
        worker::{CommandReply, EndReason, Report, RunningRow},
    },
    rand::RngExt,
};

/// A leader's request for a worker's report, which also renews leases and acknowledges ends.
#[derive(Clone, Debug)]
pub(super) struct ReportRequest {
    pub(super) leader: u64,
    pub(super) worker: usize,
    pub(super) token: u64,
    pub(super) acked: u64,
    pub(super) until: Option<u64>,
    pub(super) sent: u64,
    /// The incarnation of the worker that the connection was opened to; `None` for a new
    /// connection.
    pub(super) incarnation: Option<u64>,
}

#[derive(Clone, Debug)]
pub(super) enum Message {
    /// The leader's token, the worker, the command, and the worker's incarnation when it was sent.
    Command(u64, usize, Command, u64),
    CommandReply(u64, Command, CommandReply),
    ReportRequest(ReportRequest),
    Report(u64, usize, Report, u64),
    /// The leader's token, the write, and whether the leader has stopped waiting for the reply.
    Write(u64, Write, bool),
    Written(u64, Write, WriteResult),
}

impl World {
    /// Sends a message, which may be lost, or be delayed beyond the sender's time limit.
    pub(super) fn send(&mut self, message: Message, fast: bool) {
        let delay = self.rng.random_range(1..if fast { 20 } else { 60 });
        let late = self.chance(15);
        let lost = self.chance(15);
        if late || lost {
            let no_reply = match &message {
                Message::Command(token, _, command, _) => Some(Message::CommandReply(
                    *token,
                    command.clone(),
                    CommandReply::Silent,
                )),
                Message::Write(token, write, _) => Some(Message::Written(
                    *token,
                    write.clone(),
                    WriteResult::Unknown,
                )),
                _ => None,
            };
            if let Some(no_reply) = no_reply {
                self.messages.push((self.now + 400, no_reply));
            }
            if lost {
                return;
            }
        }
        let message = match message {
            Message::Write(token, write, _) => Message::Write(token, write, late),
            other => other,
        };
        let delay = if late {
            delay + self.rng.random_range(500..6_000)
        } else {
            delay
        };
        self.messages.push((self.now + delay, message));
    }

    pub(super) fn deliver(&mut self, message: Message) {
        if let Message::CommandReply(token, ..)
        | Message::Report(token, ..)
        | Message::Written(token, ..) = &message
        {
            let leader = self.leaders.iter().find(|l| l.token == *token);
            let until = leader.map_or(0, |l| l.paused_until);
            if until > self.now {
                // The message waits in the socket of the paused process.
                return self.messages.push((until, message));
            }
        }
        match message {
            Message::Command(token, w, command, incarnation) => {
                // Not modelled, see docs/DESIGN.md: a restarted worker that no leader has
                // reached yet carries out a delayed command that was sent to its previous
                // incarnation. Nothing can prevent that.
                let worker = &self.workers[w];
                if worker.started_ms == incarnation || worker.highest_token > 0 {
                    self.handle_command(token, w, command);
                }
            }
            Message::ReportRequest(request) => self.handle_report_request(&request),
            Message::Write(token, write, no_reply) => self.handle_write(token, write, no_reply),
            Message::CommandReply(token, command, reply) => {
                let now = self.at(self.now);
                let Some(leader) = self.active_leader(token) else {
                    return;
                };
                match &command {
                    Command::Start {
                        worker,
                        task,
                        attempt,
                        ..
                    } => leader
                        .shard
                        .on_start_reply(worker, *task, *attempt, reply, now),
                    Command::Stop {
                        worker,
                        task,
                        attempt,
                        ..
                    } => leader
                        .shard
                        .on_stop_reply(worker, *task, *attempt, reply, now),
                    _ => {}
                }
                if reply == CommandReply::Fenced {
                    leader.alive = false;
                }
            }
            Message::Report(token, w, report, sent) => {
                let (now, sent, unix) = (self.at(self.now), self.at(sent), self.now);
                if let Some(leader) = self.active_leader(token) {
                    leader.incarnations[w] = Some(report.started_ms);
                    let id = format!("w{w}");
                    leader.shard.on_report(&id, &report, sent, now, unix);
                }
            }
            Message::Written(token, write, result) => {
                let now = self.at(self.now);
                if let Some(leader) = self.active_leader(token) {
                    leader
                        .journal
                        .on_write_result(&mut leader.shard, write.batch, result, now);
                }
            }
        }
    }

    pub(super) fn handle_write(&mut self, token: u64, write: Write, no_reply: bool) {
        if token != self.token {
            // The lease row has changed, so the store refuses the write.
            if let Some(leader) = self.active_leader(token) {
                leader.alive = false;
            }
            return;
        }
        let result =
            if write.head_version == self.head.0 || self.mutant == Mutant::UnconditionalWrites {
                self.version += 1;
                self.head = (self.version, Some(write.mark));
                self.rows.extend(write.batch.rows.iter().cloned());
                WriteResult::Applied(self.version)
            } else {
                WriteResult::Superseded(self.head.0, self.head.1)
            };
        if !no_reply {
            self.messages
                .push((self.now + 10, Message::Written(token, write, result)));
        }
    }

    pub(super) fn handle_command(&mut self, token: u64, w: usize, command: Command) {
        if !self.is_reachable(token, w) {
            let no_reply = Message::CommandReply(token, command, CommandReply::Silent);
            self.messages.push((self.now + 400, no_reply));
            return;
        }
        let reply = match &command {
            Command::Start {
                task,
                attempt,
                until_ms,
                token,
                ..
            } => self.start(w, *task, *attempt, *until_ms, *token),
            Command::Stop {
                task,
                attempt,
                token,
                ..
            } => self.stop(w, *task, *attempt, *token),
            _ => CommandReply::Ok,
        };
        if !self.chance(10) {
            let delay = self.rng.random_range(1..20);
            let reply = Message::CommandReply(token, command, reply);
            self.messages.push((self.now + delay, reply));
        } else {
            let no_reply = Message::CommandReply(token, command, CommandReply::Silent);
            self.messages.push((self.now + 400, no_reply));
        }
    }

    pub(super) fn handle_report_request(&mut self, request: &ReportRequest) {
        let (token, w) = (request.leader, request.worker);
        let incarnation = self.workers[w].started_ms;
        let acks_across_restart = self.mutant == Mutant::AckAcrossRestart;
        if request
            .incarnation
            .is_some_and(|connected_to| connected_to != incarnation)
            && !acks_across_restart
        {
            // The connection was closed when the worker restarted.
            if let Some(leader) = self.leaders.iter_mut().find(|l| l.token == token) {
                leader.incarnations[w] = None;
            }
            return;
        }
        if !self.is_reachable(token, w) {
            return;
        }
        let fencing = self.mutant != Mutant::NoFencing;
        let worker = &mut self.workers[w];
        if fencing && request.token < worker.highest_token {
            if let Some(leader) = self.active_leader(token) {
                leader.alive = false;
            }
            return;
        }
        worker.highest_token = worker.highest_token.max(request.token);
        for end in worker.finished.iter().filter(|e| e.number <= request.acked) {
            if end.reason == EndReason::Done {
                self.acknowledged.insert(end.task);
            }
        }
        worker.finished.retain(|e| e.number > request.acked);
        if let Some(until) = request.until {
            for running in worker.running.values_mut() {
                running.until = running.until.max(until);
            }
        }
        let row = |(task, r): (&TaskName, &Running)| RunningRow {
            task: *task,
            attempt: r.attempt,
            checkpoint: String::new(),
            percent: (self.now % 100) as f64,
            usage: None,
        };
        let report = Report {
            started_ms: worker.started_ms,
            clock_ms: self.now,
            running: worker.running.iter().map(row).collect(),
            finished: worker.finished.clone(),
        };
        if !self.chance(15) {
            let delay = self.rng.random_range(1..20);
            let report = Message::Report(token, w, report, request.sent);
            self.messages.push((self.now + delay, report));
        }
    }
}
