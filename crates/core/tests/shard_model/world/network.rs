//! What is sent between leaders, workers and the store, and what becomes of it on the way.

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

/// A question for a report.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    pub(super) leader: u64,
    pub(super) worker: usize,
    pub(super) token: u64,
    pub(super) acked: u64,
    pub(super) until: Option<u64>,
    pub(super) sent: u64,
    /// The life of the worker that the connection leads to; none for a new connection.
    pub(super) life: Option<u64>,
}

#[derive(Clone, Debug)]
pub(super) enum Message {
    /// With the life of the worker when it was sent.
    Command(u64, usize, Command, u64),
    CommandReply(u64, Command, CommandReply),
    Hold(Hold),
    Report(u64, usize, Report, u64),
    /// With whether its answer was given up.
    Write(u64, Write, bool),
    Written(u64, Write, WriteResult),
}

impl World {
    /// Sends a message, which may be lost, or come late without an answer.
    pub(super) fn send(&mut self, message: Message, fast: bool) {
        let delay = self.rng.random_range(1..if fast { 20 } else { 60 });
        let late = self.chance(15);
        let lost = self.chance(15);
        if late || lost {
            let silent = match &message {
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
            if let Some(silent) = silent {
                self.messages.push((self.now + 400, silent));
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
                // It waits in the socket of the paused process.
                return self.messages.push((until, message));
            }
        }
        match message {
            Message::Command(token, w, command, life) => {
                // Left out, see docs/DESIGN.md: an order that is carried out late by a new life
                // of the worker which no leader has reached yet. Nobody can prevent that.
                let worker = &self.workers[w];
                if worker.started_ms == life || worker.fence > 0 {
                    self.command(token, w, command);
                }
            }
            Message::Hold(hold) => self.hold(&hold),
            Message::Write(token, write, silent) => self.write(token, write, silent),
            Message::CommandReply(token, command, answer) => {
                let now = self.at(self.now);
                let Some(leader) = self.leader(token) else {
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
                        .on_start_reply(worker, *task, *attempt, answer, now),
                    Command::Stop {
                        worker,
                        task,
                        attempt,
                        ..
                    } => leader
                        .shard
                        .on_stop_reply(worker, *task, *attempt, answer, now),
                    _ => {}
                }
                if answer == CommandReply::Fenced {
                    leader.alive = false;
                }
            }
            Message::Report(token, w, report, sent) => {
                let (now, sent, unix) = (self.at(self.now), self.at(sent), self.now);
                if let Some(leader) = self.leader(token) {
                    leader.incarnations[w] = Some(report.started_ms);
                    let id = format!("w{w}");
                    leader.shard.on_report(&id, &report, sent, now, unix);
                }
            }
            Message::Written(token, write, fate) => {
                let now = self.at(self.now);
                if let Some(leader) = self.leader(token) {
                    leader
                        .journal
                        .on_write_result(&mut leader.shard, write.batch, fate, now);
                }
            }
        }
    }

    pub(super) fn write(&mut self, token: u64, write: Write, silent: bool) {
        if token != self.token {
            // The lease row has changed.
            if let Some(leader) = self.leader(token) {
                leader.alive = false;
            }
            return;
        }
        let fate = if write.head_ver == self.head.0 || self.mutant == Mutant::NoHead {
            self.ver += 1;
            self.head = (self.ver, Some(write.mark));
            self.rows.extend(write.batch.rows.iter().cloned());
            WriteResult::Applied(self.ver)
        } else {
            WriteResult::Superseded(self.head.0, self.head.1)
        };
        if !silent {
            self.messages
                .push((self.now + 10, Message::Written(token, write, fate)));
        }
    }

    pub(super) fn command(&mut self, token: u64, w: usize, command: Command) {
        if !self.reaches(token, w) {
            let silent = Message::CommandReply(token, command, CommandReply::Silent);
            self.messages.push((self.now + 400, silent));
            return;
        }
        let answer = match &command {
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
            let answer = Message::CommandReply(token, command, answer);
            self.messages.push((self.now + delay, answer));
        } else {
            let silent = Message::CommandReply(token, command, CommandReply::Silent);
            self.messages.push((self.now + 400, silent));
        }
    }

    pub(super) fn hold(&mut self, hold: &Hold) {
        let (token, w) = (hold.leader, hold.worker);
        let life = self.workers[w].started_ms;
        let blind = self.mutant == Mutant::AckBlindly;
        if hold.life.is_some_and(|known| known != life) && !blind {
            // The connection ended with the life that it led to.
            if let Some(leader) = self.leaders.iter_mut().find(|l| l.token == token) {
                leader.incarnations[w] = None;
            }
            return;
        }
        if !self.reaches(token, w) {
            return;
        }
        let fence = self.mutant != Mutant::NoFence;
        let worker = &mut self.workers[w];
        if fence && hold.token < worker.fence {
            if let Some(leader) = self.leader(token) {
                leader.alive = false;
            }
            return;
        }
        worker.fence = worker.fence.max(hold.token);
        for end in worker.finished.iter().filter(|e| e.number <= hold.acked) {
            if end.reason == EndReason::Done {
                self.acknowledged.insert(end.task);
            }
        }
        worker.finished.retain(|e| e.number > hold.acked);
        if let Some(until) = hold.until {
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
            let report = Message::Report(token, w, report, hold.sent);
            self.messages.push((self.now + delay, report));
        }
    }
}
