//! Leaders: how one begins, and what it does in a step.

use {
    super::{
        Mutant, World,
        network::{Hold, Message},
    },
    marigoldbend_core::sched::{
        job::Resources,
        journal::Journal,
        progress::Progress,
        shard::{Command, JobOrigin, Params, Shard},
        worker::{Availability, WorkerInfo},
    },
};

/// The time between two beats of a leader in the store, in milliseconds.
const BEAT: u64 = 1_000;

pub(super) struct Leader {
    pub(super) token: u64,
    pub(super) shard: Shard,
    pub(super) journal: Journal,
    pub(super) alive: bool,
    pub(super) paused_until: u64,
    pub(super) read: usize,
    pub(super) next_beat: u64,
    pub(super) next_hold: Vec<u64>,
    /// The life of each worker that its connection leads to.
    pub(super) incarnations: Vec<Option<u64>>,
}

impl World {
    pub(super) fn take_over(&mut self) {
        self.token += 1;
        self.ver += 1;
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
            let found = if self.mutant == Mutant::NothingInherited && !self.rows.contains_key(id) {
                JobOrigin::New
            } else {
                JobOrigin::Stored(progress)
            };
            shard.add_job(*id, spec.clone(), found, now);
        }
        self.leaders.push(Leader {
            token: self.token,
            shard,
            journal: Journal::new(self.token, self.head.0),
            alive: true,
            paused_until: 0,
            read: self.jobs.len(),
            next_beat: self.now + BEAT,
            next_hold: vec![0; self.workers.len()],
            incarnations: vec![None; self.workers.len()],
        });
    }

    pub(super) fn lead(&mut self, i: usize) {
        let now = self.at(self.now);
        let unix = self.now;
        let leader = &mut self.leaders[i];
        if !leader.alive || leader.paused_until > self.now {
            return;
        }
        if self.now >= leader.next_beat {
            // The beat in the store depends on the lease row.
            leader.next_beat = self.now + BEAT;
            if leader.token != self.token {
                leader.alive = false;
                return;
            }
            leader.shard.confirm(now);
        }
        while leader.read < self.jobs.len() {
            let (id, spec) = &self.jobs[leader.read];
            leader.read += 1;
            if spec.token > leader.token && self.mutant != Mutant::AnyToken {
                leader.alive = false;
                return;
            }
            leader.shard.add_job(*id, spec.clone(), JobOrigin::New, now);
        }
        let token = leader.token;
        let commands = leader.shard.poll(now, unix);
        let write = leader.journal.next_write(&mut leader.shard, 50, now);
        let mut holds = Vec::new();
        for w in 0..self.workers.len() {
            if leader.next_hold[w] > self.now {
                continue;
            }
            leader.next_hold[w] = self.now + 60;
            let id = format!("w{w}");
            if let Some((acked, until)) = leader.shard.prepare_report_request(&id, now) {
                let life = leader.incarnations[w];
                let acked = match self.mutant {
                    Mutant::AckEarly => u64::MAX,
                    Mutant::AckBlindly => acked,
                    _ if life.is_some() => acked,
                    _ => 0,
                };
                let order_token = leader.shard.worker_token(&id);
                holds.push(Message::Hold(Hold {
                    leader: token,
                    worker: w,
                    token: order_token,
                    acked,
                    until,
                    sent: self.now,
                    life,
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
            let life = self.workers[w].started_ms;
            self.send(Message::Command(token, w, command, life), true);
        }
        for hold in holds {
            self.send(hold, true);
        }
        if let Some(write) = write {
            self.send(Message::Write(token, write, false), false);
        }
    }

    pub(super) fn leader(&mut self, token: u64) -> Option<&mut Leader> {
        let now = self.now;
        let leader = self.leaders.iter_mut().find(|l| l.token == token)?;
        (leader.alive && leader.paused_until <= now).then_some(leader)
    }
}
