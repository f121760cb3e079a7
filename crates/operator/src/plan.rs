//! Derives the configuration from a questionnaire, with the answer behind each value.

use {
    crate::answers::{Answers, AtPeak, BatchAnswers, ServiceAnswers, Share},
    marigoldbend_core::{
        config::{BatchClass, Config, ConfigError, Service, Team, Weights, WorkerShape},
        ownership::row::fallback_share,
    },
    std::collections::BTreeMap,
};

/// The maximum queue length, in requests, of a service that refuses requests beyond its capacity.
const SHORT_QUEUE: u32 = 64;

/// The maximum queue length, in requests, of a service that lets such requests wait.
const LONG_QUEUE: u32 = 512;

/// A result of planning.
pub type Result<T, E = ConfigError> = std::result::Result<T, E>;

/// A value of the configuration and the answer that it is derived from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reason {
    /// The path of the value in the configuration.
    pub field: String,
    /// The value.
    pub value: String,
    /// The section and key of the answer.
    pub answer: String,
}

/// A configuration and the reasons for its values.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The configuration.
    pub config: Config,
    /// One reason for each value, in the order of the sections in the questionnaire template.
    pub reasons: Vec<Reason>,
}

/// Derives the configuration from the answers.
///
/// # Errors
///
/// Returns an error that names the first value that is out of range.
pub fn plan(answers: &Answers) -> Result<Plan> {
    let mut reasons = Reasons::default();
    let worker = answers.worker;
    reasons.add("worker.slots", worker.slots, "[worker] slots");
    reasons.add(
        "worker.connections",
        worker.connections,
        "[worker] connections",
    );
    let weights = Weights {
        tail_latency: answers.importance.tail_latency * 10,
        evictions: answers.importance.evictions * 10,
        throughput: answers.importance.batch_progress * 10,
    };
    let answer = |key: &str| format!("[importance] {key}");
    reasons.add(
        "weights.tail_latency",
        weights.tail_latency,
        &answer("tail_latency"),
    );
    reasons.add("weights.evictions", weights.evictions, &answer("evictions"));
    reasons.add(
        "weights.throughput",
        weights.throughput,
        &answer("batch_progress"),
    );
    let mut services = BTreeMap::new();
    for service in &answers.services {
        services.insert(service.name.clone(), plan_service(service, &mut reasons));
    }
    let mut classes = BTreeMap::new();
    for batch in &answers.batch {
        let class = plan_class(batch, worker.slots, &mut reasons);
        classes.insert(batch.name.clone(), class);
    }
    let mut teams = BTreeMap::new();
    for team in &answers.teams {
        let running_tasks = team.running_tasks;
        let field = format!("teams.{}.running_tasks", team.name);
        reasons.add(
            &field,
            running_tasks,
            &format!("[team {}] running_tasks", team.name),
        );
        teams.insert(team.name.clone(), Team { running_tasks });
    }
    let config = Config {
        services,
        classes,
        teams,
        weights,
        worker: WorkerShape {
            slots: worker.slots,
            connections: worker.connections,
        },
    };
    config.check()?;
    Ok(Plan {
        config,
        reasons: reasons.0,
    })
}

fn plan_service(answers: &ServiceAnswers, reasons: &mut Reasons) -> Service {
    let queue = match answers.at_peak {
        AtPeak::Refusal => SHORT_QUEUE,
        AtPeak::Wait => LONG_QUEUE,
    };
    let name = &answers.name;
    let field = |key: &str| format!("services.{name}.{key}");
    let answer = |key: &str| format!("[service {name}] {key}");
    reasons.add(&field("deadline_ms"), answers.delay_ms, &answer("delay_ms"));
    reasons.add(&field("queue"), queue, &answer("at_peak"));
    reasons.add(
        &field("latency_critical"),
        answers.waited_for,
        &answer("waited_for"),
    );
    Service {
        deadline_ms: answers.delay_ms,
        queue,
        latency_critical: answers.waited_for,
    }
}

fn plan_class(answers: &BatchAnswers, slots: u32, reasons: &mut Reasons) -> BatchClass {
    let slots_per_worker = match answers.share {
        Share::Little => slots / 4,
        Share::Half => slots / 2,
        Share::Most => fallback_share(slots),
    };
    let slots_per_worker = slots_per_worker.max(1);
    let name = &answers.name;
    let field = |key: &str| format!("classes.{name}.{key}");
    let answer = |key: &str| format!("[batch {name}] {key}");
    reasons.add(
        &field("slots_per_worker"),
        slots_per_worker,
        &answer("share"),
    );
    reasons.add(
        &field("checkpoint"),
        answers.checkpoints,
        &answer("checkpoints"),
    );
    BatchClass {
        slots_per_worker,
        checkpoint: answers.checkpoints,
    }
}

#[derive(Default)]
struct Reasons(Vec<Reason>);

impl Reasons {
    fn add(&mut self, field: &str, value: impl ToString, answer: &str) {
        self.0.push(Reason {
            field: field.to_owned(),
            value: value.to_string(),
            answer: answer.to_owned(),
        });
    }
}
