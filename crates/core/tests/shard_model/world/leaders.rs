//! The simulated leaders: takeover, and the work of one step.

use {
    super::{
        Mutant, World,
        network::{Message, ReportRequest},
    },
    marigoldbend_core::sched::{
        job::Resources,
        journal::Journal,
        progress::Progress,
        shard::{Command, JobOrigin, Params, Shard},
        worker::{Availability, WorkerInfo},
    },
};

/// The time between two heartbeats of a leader in the store, in milliseconds.
const HEARTBEAT_MS: u64 = 1_000;

pub(super) struct Leader {
    pub(super) token: u64,
    pub(super) shard: Shard,
    pub(super) journal: Journal,
    pub(super) alive: bool,
    pub(super) paused_until: u64,
    pub(super) jobs_read: usize,
    pub(super) next_heartbeat: u64,
    pub(super) next_report_request: Vec<u64>,
    /// The incarnation of each worker that the leader is connected to; `None` if not connected.
    pub(super) incarnations: Vec<Option<u64>>,
}

impl World {
    pub(super) fn take_over(&mut self) {
        self.token += 1;
        self.version += 1;
        let now = self.at(self.now);
        let mut shard = Shard::new(Params::default(), self.token, now);
        for i in 0..self.workers.len() {
            let info = WorkerInfo {
                id: format!("w{i}"),
                service: "s".to_owned(),
                address: format!("127.0.0.1:{i}"),
                domain: "z".to_owned(),
                availability: Availability::Ready,
                capacity: Resources {
                    cpu: 3_000,
                    mem_mb: 1_000,
                    gpu: 0,
                },
                labels: Vec::new(),
                started_ms: 0,
                remaining_ms: None,
            };
            shard.worker_listed(&info, now);
        }
        for (id, spec) in &self.jobs {
            let row = self.rows.get(id);
            let progress = row.map_or_else(Progress::default, |row| {
                Progress::decode(row).expect("rows are whole")
            });
            let origin = if self.mutant == Mutant::InheritedAsNew && !self.rows.contains_key(id) {
                JobOrigin::New
            } else {
                JobOrigin::Stored(progress)
            };
            shard.add_job(*id, spec.clone(), origin, now);
        }
        self.leaders.push(Leader {
            token: self.token,
            shard,
            journal: Journal::new(self.token, self.head.0),
            alive: true,
            paused_until: 0,
            jobs_read: self.jobs.len(),
            next_heartbeat: self.now + HEARTBEAT_MS,
            next_report_request: vec![0; self.workers.len()],
            incarnations: vec![None; self.workers.len()],
        });
    }

    pub(super) fn run_leader(&mut self, i: usize) {
        let now = self.at(self.now);
        let unix = self.now;
        let leader = &mut self.leaders[i];
        if !leader.alive || leader.paused_until > self.now {
            return;
        }
        if self.now >= leader.next_heartbeat {
            // The store accepts the heartbeat only while the lease row is unchanged.
            leader.next_heartbeat = self.now + HEARTBEAT_MS;
            if leader.token != self.token {
                leader.alive = false;
                return;
            }
            leader.shard.confirm(now);
        }
        while leader.jobs_read < self.jobs.len() {
            let (id, spec) = &self.jobs[leader.jobs_read];
            leader.jobs_read += 1;
            if spec.token > leader.token && self.mutant != Mutant::IgnoreJobToken {
                leader.alive = false;
                return;
            }
            leader.shard.add_job(*id, spec.clone(), JobOrigin::New, now);
        }
        let token = leader.token;
        let commands = leader.shard.poll(now, unix);
        let write = leader.journal.next_write(&mut leader.shard, 50, now);
        let mut report_requests = Vec::new();
        for w in 0..self.workers.len() {
            if leader.next_report_request[w] > self.now {
                continue;
            }
            leader.next_report_request[w] = self.now + 60;
            let id = format!("w{w}");
            if let Some((acked, until)) = leader.shard.prepare_report_request(&id, now) {
                let incarnation = leader.incarnations[w];
                let acked = match self.mutant {
                    Mutant::AckBeforeStore => u64::MAX,
                    Mutant::AckAcrossRestart => acked,
                    _ if incarnation.is_some() => acked,
                    _ => 0,
                };
                let worker_token = leader.shard.worker_token(&id);
                report_requests.push(Message::ReportRequest(ReportRequest {
                    leader: token,
                    worker: w,
                    token: worker_token,
                    acked,
                    until,
                    sent: self.now,
                    incarnation,
                }));
            }
        }
        for command in commands {
            let (Command::Start { worker, .. }
            | Command::Stop { worker, .. }
            | Command::Throttle { worker, .. }) = &command
            else {
                continue;
            };
            let w: usize = worker[1..].parse().expect("a worker's number");
            let incarnation = self.workers[w].started_ms;
            self.send(Message::Command(token, w, command, incarnation), true);
        }
        for request in report_requests {
            self.send(request, true);
        }
        if let Some(write) = write {
            self.send(Message::Write(token, write, false), false);
        }
    }

    pub(super) fn active_leader(&mut self, token: u64) -> Option<&mut Leader> {
        let now = self.now;
        let leader = self.leaders.iter_mut().find(|l| l.token == token)?;
        (leader.alive && leader.paused_until <= now).then_some(leader)
    }
}
