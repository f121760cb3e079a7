//! Refuses jobs that would end too late to be of any use; see the module
//! [`admission`](marigoldbend_core::sched::admission) of the core.
//!
//! The response says that the job is not stored and never runs. So a job is refused only if no
//! submission under its identifier has been stored or may still be: none is in flight or without
//! a known result here, the store has no row of the identifier, and no instance has lately had calls
//! to the store without a reply, which may take effect late. If any of this is not certain, the job
//! takes the usual way to the store, which also tells whether it was stored before.

use {
    super::*,
    marigoldbend_core::sched::admission::{Refusal, refusal},
};

/// The time limit of the look-up of an identifier; a job that can't be looked up in this time is not
/// refused. Reads take a few milliseconds on most deployments, and refusals should take under 50 ms.
const LOOK_UP_TIMEOUT: Duration = Duration::from_millis(150);

/// The maximum number of look-ups at a time; more jobs are not refused meanwhile. At 5 ms for each
/// this is 3,200 refusals a second.
pub(super) const MAX_LOOK_UPS: usize = 16;

/// How long a call to the store without a reply may still take effect.
const LATE_EFFECT_TIME: Duration = Duration::from_secs(5);

/// The number of open submissions from which on those are forgotten that can't take effect any more.
const MAX_UNKNOWN_SUBMISSIONS: usize = 10_000;

/// The submissions of this instance whose result is not known.
#[derive(Default)]
pub(super) struct OpenSubmissions {
    /// By job: how many are in flight, and when the last one ended without a known result.
    jobs: HashMap<JobId, (u32, Option<Instant>)>,
}

impl OpenSubmissions {
    fn begin(&mut self, id: JobId, now: Instant) {
        if self.jobs.len() >= MAX_UNKNOWN_SUBMISSIONS {
            self.jobs.retain(|_, submission| is_open(submission, now));
        }
        self.jobs.entry(id).or_default().0 += 1;
    }

    fn end(&mut self, id: JobId, is_known: bool, now: Instant) {
        let Some((in_flight, unknown_at)) = self.jobs.get_mut(&id) else {
            return;
        };
        *in_flight = in_flight.saturating_sub(1);
        if !is_known {
            *unknown_at = Some(now);
        }
        if *in_flight == 0 && unknown_at.is_none() {
            self.jobs.remove(&id);
        }
    }

    fn contains(&self, id: JobId, now: Instant) -> bool {
        self.jobs.get(&id).is_some_and(|s| is_open(s, now))
    }
}

/// A submission that is sent to the store. If it is dropped before its end, because the caller has
/// gone, its result is not known.
pub(super) struct OpenSubmission<'a> {
    intake: &'a Intake,
    id: JobId,
    is_known: bool,
}

impl<'a> OpenSubmission<'a> {
    /// Records that a submission is about to be sent.
    pub(super) fn begin(intake: &'a Intake, id: JobId) -> Self {
        intake.open_submissions.lock().begin(id, Instant::now());
        Self {
            intake,
            id,
            is_known: false,
        }
    }

    /// Records the result of the submission; a job that is stored must be cached before.
    pub(super) fn end(mut self, is_known: bool) {
        self.is_known = is_known;
    }
}

impl Drop for OpenSubmission<'_> {
    fn drop(&mut self) {
        let mut submissions = self.intake.open_submissions.lock();
        submissions.end(self.id, self.is_known, Instant::now());
    }
}

fn is_open((in_flight, unknown_at): &(u32, Option<Instant>), now: Instant) -> bool {
    let is_recent = |at: Instant| now.saturating_duration_since(at) < LATE_EFFECT_TIME;
    *in_flight > 0 || unknown_at.is_some_and(is_recent)
}

/// What is known of an identifier.
enum LookUp {
    /// No job under it is stored or may still be.
    Absent,
    /// A job under it is stored.
    Stored,
    /// Neither is certain.
    Unknown(&'static str),
}

impl Intake {
    /// Returns the response to a job that the outlook of its shard is against: a refusal, or that the
    /// job was stored before. `None` if the job is to be stored.
    pub(super) async fn refuse(
        &self,
        view: &View,
        shard: &str,
        id: JobId,
        job: &JobSpec,
    ) -> Option<HttpResponse> {
        let now = Instant::now();
        let leader = view.leaders.get(shard).filter(|_| view.admission)?;
        let (outlook, age) = leader.outlook(&job.service, now)?;
        let refusal = refusal(outlook, job)?;
        let found = match view.store_doubted_at {
            Some(at) if now.saturating_duration_since(at) < LATE_EFFECT_TIME => {
                LookUp::Unknown("calls to the store had no reply lately")
            }
            _ => self.look_up(id).await,
        };
        let (result, response) = match found {
            LookUp::Absent => {
                let retry_after_s = refusal.retry_after_s(rand::random());
                let problem = "the job would end too late; it was not stored";
                ("refused", Some(unavailable_for(problem, retry_after_s)))
            }
            LookUp::Stored => ("stored", Some(respond(StatusCode::OK, Bytes::new()))),
            LookUp::Unknown(reason) => {
                log::info!("intake: job={id} is not refused: {reason}.");
                ("unknown", None)
            }
        };
        self.count_refusal(&refusal, result);
        let retry_after = response.as_ref().and_then(|r| r.headers().get(RETRY_AFTER));
        let retry_after = retry_after.and_then(|value| value.to_str().ok());
        log::info!(
            "intake: job={id} service={} would end too late: result={result} {refusal} leader={} age_ms={} retry_after_s={} ms={}.",
            job.service,
            leader.name,
            age.as_millis(),
            retry_after.unwrap_or("none"),
            now.elapsed().as_millis(),
        );
        response
    }

    fn count_refusal(&self, refusal: &Refusal, result: &str) {
        let kind = if refusal.best_effort { "fill" } else { "short" };
        let labels = [kind, result];
        self.metrics.admission.with_label_values(&labels).inc();
    }

    /// Finds out whether a job is stored under an identifier, with one call to the store at most.
    async fn look_up(&self, id: JobId) -> LookUp {
        let Ok(_permit) = self.look_ups.try_acquire() else {
            return LookUp::Unknown("too many look-ups at a time");
        };
        let key = keys::id(id);
        let row = match timeout(LOOK_UP_TIMEOUT, read_row(&self.store, &key)).await {
            Ok(Ok(row)) => row,
            Ok(Err(_)) => return LookUp::Unknown("the store can't be read"),
            Err(_) => return LookUp::Unknown("the store is slow"),
        };
        let shard = match row.map(String::from_utf8) {
            Some(Ok(shard)) => Some(shard),
            Some(Err(_)) => return LookUp::Unknown("its row can't be decoded"),
            None => None,
        };
        if let Some(shard) = shard {
            self.cache_job(id, &shard, None);
            return LookUp::Stored;
        }
        // Another submission may have been sent from here since the row was read.
        if self.open_submissions.lock().contains(id, Instant::now()) {
            return LookUp::Unknown("another submission is in flight");
        }
        match self.cached_shard(id) {
            Some(_) => LookUp::Stored,
            None => LookUp::Absent,
        }
    }
}
