//! Clients of small jobs, and the judgement of what became of the jobs.

use {
    crate::{
        deployment::{Deployment, QUEUES},
        record::Record,
    },
    hyper::{Method, StatusCode},
    marigoldbend_core::sched::{job::JobId, progress::JobState, worker::EndReason},
    marigoldbend_http::client::JsonClient,
    marigoldbend_wire::stand_in as wire,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinSet,
        time::{sleep, sleep_until},
    },
};

/// The tasks in the two steps of a small job, the second of which follows the first.
const STEP_TASKS: [u32; 2] = [6, 4];
const TASK_MS: u64 = 100;
/// The processor that a task of a small job requests, in thousandths of a core.
const TASK_CPU: i64 = 200;
const JOBS_INTERVAL: Duration = Duration::from_millis(250);
/// The number of jobs whose state is asked for at once.
const CONCURRENT_READS: usize = 16;
/// `finish_s` of the small deployments.
const FINISH: Duration = Duration::from_secs(14);
/// The time without anything running after which a job counts as lost, if its turn has come.
const IDLE: Duration = Duration::from_secs(3);
/// The capacity of the workers that are left in each case, or less.
const CAPACITY: i64 = 6 * 16_000;

#[derive(Clone, Debug)]
pub struct Job {
    pub id: JobId,
    pub queue: String,
    body: String,
}

impl Job {
    fn small(number: u64) -> Self {
        let step = |count: u32, after: &str| {
            format!(
                r#"{{"count":{count},"cpu":{TASK_CPU},"mem_mb":100,"estimate_ms":{TASK_MS}{after}}}"#
            )
        };
        let first = step(STEP_TASKS[0], "");
        let second = step(STEP_TASKS[1], r#","after":[0]"#);
        Self {
            id: JobId(0x5a11_0000 + number),
            queue: QUEUES[0].0.to_owned(),
            body: format!(r#"{{"spec":"{TASK_MS}","phases":[{first},{second}]}}"#),
        }
    }

    /// Another job, in the less urgent queue.
    pub fn other(id: u64, body: String) -> Self {
        Self {
            id: JobId(id),
            queue: QUEUES[1].0.to_owned(),
            body,
        }
    }

    /// A job of the queue with this name.
    pub fn of_queue(id: u64, queue: &str, body: String) -> Self {
        Self {
            id: JobId(id),
            queue: queue.to_owned(),
            body,
        }
    }

    fn path(&self) -> String {
        format!("/{}/{}", self.queue, self.id)
    }
}

#[derive(Clone)]
struct Caller {
    record: Record,
    client: JsonClient,
    targets: Vec<SocketAddr>,
}

impl Caller {
    /// Submits a job, with up to four retries at the other instances.
    async fn submit(&self, first: usize, job: &Job) -> bool {
        for attempt in 0..5 {
            let to = self.targets[(first + attempt) % self.targets.len()];
            let reply =
                Deployment::call(&self.client, to, Method::POST, &job.path(), &job.body).await;
            let status = reply.map(|reply| reply.status);
            self.record
                .add(format!("client: POST {} at {to}: {status:?}", job.path()));
            if status == Some(StatusCode::OK) {
                return true;
            }
            sleep(Duration::from_millis(200)).await;
        }
        false
    }

    /// Asks for the state of a job, at the instances in turn until one tells it.
    async fn state(&self, job: &Job) -> (Option<JobState>, Vec<String>) {
        let mut answers = Vec::new();
        for to in &self.targets {
            let reply = Deployment::call(&self.client, *to, Method::GET, &job.path(), "").await;
            let Some(reply) = reply else {
                answers.push(format!("{to}: no answer"));
                continue;
            };
            answers.push(format!(
                "{to}: {} {}",
                reply.status,
                String::from_utf8_lossy(&reply.body)
            ));
            if let Some(state) = wire::read_state(&reply.body) {
                return (Some(state), answers);
            }
        }
        (None, answers)
    }
}

pub struct Traffic {
    record: Record,
    caller: Caller,
    next: u64,
    submissions: JoinSet<Option<(Job, Instant)>>,
}

impl Traffic {
    pub fn new(deployment: &Deployment, record: &Record) -> Self {
        Self {
            record: record.clone(),
            caller: Caller {
                record: record.clone(),
                client: deployment.client.clone(),
                targets: deployment.instances.iter().map(|i| i.callers).collect(),
            },
            next: 0,
            submissions: JoinSet::new(),
        }
    }

    /// Submits a job.
    pub async fn submit(&self, job: &Job) -> bool {
        self.caller.submit(0, job).await
    }

    /// Submits small jobs for a time.
    pub async fn small_jobs(&mut self, time: Duration) {
        let mut at = Instant::now();
        let until = at + time;
        while at < until {
            sleep_until(at.into()).await;
            at += JOBS_INTERVAL;
            self.next += 1;
            let (caller, first) = (self.caller.clone(), self.next as usize);
            let job = Job::small(self.next);
            self.submissions.spawn(async move {
                let accepted = caller.submit(first, &job).await;
                accepted.then(|| (job, Instant::now()))
            });
        }
    }

    /// Waits until `finish_s` after the end of the traffic and a while longer, and returns what breaks LOST
    /// among the accepted small jobs, by what ran from then on for three seconds.
    pub async fn judge(
        &mut self,
        deployment: &Deployment,
        lost_worker: Option<&str>,
    ) -> Vec<String> {
        // The traffic ends with the last retry.
        let mut accepted = Vec::new();
        while let Some(submission) = self.submissions.join_next().await {
            accepted.extend(submission.ok().flatten());
        }
        accepted.sort_by_key(|(job, _)| job.id);
        self.record.add("the traffic has ended".to_owned());
        let judged_from = Instant::now() + FINISH;
        sleep_until((judged_from + IDLE + Duration::from_secs(1)).into()).await;
        let mut states = HashMap::new();
        for jobs in accepted.chunks(CONCURRENT_READS) {
            let mut reads = JoinSet::new();
            for (job, _) in jobs.iter().cloned() {
                let caller = self.caller.clone();
                reads.spawn(async move { (job.id, caller.state(&job).await) });
            }
            states.extend(reads.join_all().await);
        }
        let end = Instant::now();
        let runs = deployment.workers.record.runs();
        let mut by_job: HashMap<JobId, Vec<_>> = HashMap::new();
        for run in &runs {
            by_job.entry(run.task.job).or_default().push(run);
        }
        // The processor that runs request at a moment. Tasks of other jobs request less.
        let in_use = |at: Instant| -> i64 {
            let runs = runs.iter();
            let now = runs.filter(|r| r.start <= at && r.end.is_none_or(|(ended, _)| ended > at));
            now.count() as i64 * TASK_CPU
        };
        let mut broken = Vec::new();
        let mut open = 0;
        for (job, accepted_at) in &accepted {
            let runs = by_job.get(&job.id).map_or(&[][..], Vec::as_slice);
            let (state, answers) = states.remove(&job.id).unwrap_or_default();
            // What a lost worker had done may not have been taken note of.
            let done = |step: u16| {
                let ends = runs.iter().filter(|r| {
                    let is_done = matches!(r.end, Some((_, EndReason::Done)));
                    r.task.step == step && is_done && Some(r.worker.as_str()) != lost_worker
                });
                let indices: HashSet<u32> = ends.map(|r| r.task.index).collect();
                indices.len() as u32
            };
            let done = [done(0), done(1)];
            let all_done = done == STEP_TASKS;
            let is_open = state != Some(JobState::Completed) && !all_done;
            // While a job is open, the turn of a task of its first or its second step has come.
            let judged_until = judged_from + IDLE;
            let runs_then = runs.iter().any(|r| {
                r.start < judged_until && r.end.is_none_or(|(ended, _)| ended > judged_from)
            });
            if is_open && !runs_then {
                // Looks at the room every tenth of a second of the three.
                let moments = (0..30).map(|i| judged_from + Duration::from_millis(100 * i));
                let used = moments.map(in_use).max().unwrap_or(0);
                let last_end = runs.iter().filter_map(|r| Some(r.end?.0)).max();
                let line = format!(
                    "LOST: job {} accepted at {:.3}: nothing of it runs from {:.3} to {:.3}, although {done:?} of {STEP_TASKS:?} tasks are done (its last run ended at {:?}); at most {used} of {CAPACITY} thousandths of a core are in use",
                    job.id,
                    self.record.at(*accepted_at),
                    self.record.at(judged_from),
                    self.record.at(judged_until),
                    last_end.map(|at| self.record.at(at)),
                );
                self.record.add(line.clone());
                // Room for twice all tasks of the job, and under half of the capacity in use.
                let twice = 2 * TASK_CPU * i64::from(STEP_TASKS.iter().sum::<u32>());
                if used * 2 < CAPACITY && CAPACITY - used >= twice {
                    broken.push(line);
                }
            }
            if state != Some(JobState::Completed) {
                open += 1;
                let line = format!(
                    "job {}: state {state:?} {:?} after the end of the traffic, all its tasks done: {all_done}; {answers:?}",
                    job.id,
                    end.saturating_duration_since(*accepted_at)
                );
                self.record.add(line);
                if state.is_none() {
                    broken.push(format!("LOST: job {} isn't known or has no answer", job.id));
                }
            }
        }
        let violations = deployment.workers.record.violations();
        self.record.add(format!(
            "tasks that ran twice or again after they were done: {}",
            violations.len()
        ));
        for line in violations.iter().take(10) {
            self.record.add(format!("ran again: {line}"));
        }
        let ends = runs.iter().filter(|run| run.end.is_some()).count();
        let counts = deployment.proxy.counts.lock();
        self.record.add(format!(
            "summary: {} small jobs accepted, {open} of them not shown as completed; {} runs, {ends} ended; {} unacknowledged ends: {}; store: {} transactions, {} with a row over the limit, longest row {} bytes",
            accepted.len(),
            runs.len(),
            if deployment.workers.has_unacknowledged_ends() { "some" } else { "no" },
            deployment.workers.has_unacknowledged_ends(),
            counts.writes,
            counts.too_long,
            counts.longest,
        ));
        broken
    }
}
