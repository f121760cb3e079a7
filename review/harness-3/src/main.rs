//! Runs one case of the review: `review-harness-3 CASE FOLDER`. Writes `record.txt` into the folder.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0`
//! in the environment the disruption is left out.

mod deployment;
mod proxy;
mod record;
mod traffic;

use {
    deployment::{Deployment, Result},
    record::Record,
    std::{env, path::PathBuf, process::exit, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        time::timeout,
    },
    traffic::{Job, Traffic},
};

/// The longest time that a case takes.
const MAX_TIME: Duration = Duration::from_secs(115);

#[tokio::main]
async fn main() {
    let mut args = env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-harness-3 CASE FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let path = PathBuf::from(folder).join("record.txt");
    let run = async {
        match case.as_str() {
            "due" => stuck_by(&record, trouble, due_job()).await,
            "names" => {
                let names = (0..40).map(|n| format!("semenanjung-rigging-inspection-route-{n:02}"));
                beside_long_names(&record, trouble, names.collect()).await
            }
            _ => Err(format!("no case {case}").into()),
        }
    };
    // What `run` holds is dropped at the end, which ends the processes.
    let result = tokio::select! {
        result = timeout(MAX_TIME, run) => {
            result.unwrap_or_else(|_| Err("it takes too long".into()))
        }
        () = interrupted() => Err("it was interrupted".into()),
    };
    let code = match &result {
        Ok(broken) if broken.is_empty() => {
            record.add("result: the rule held".to_owned());
            0
        }
        Ok(broken) => {
            // The record has the other lines above.
            for line in broken.iter().take(5) {
                record.add(format!("result: broken: {line}"));
                println!("broken: {line}");
            }
            println!("{} jobs broken; see record.txt", broken.len());
            1
        }
        Err(e) => {
            record.add(format!("result: the case could not run: {e}"));
            println!("could not run: {e}");
            2
        }
    };
    if let Err(e) = record.write(&path) {
        eprintln!("{}: {e}", path.display());
        exit(2);
    }
    exit(code);
}

/// Waits for SIGTERM or SIGINT.
async fn interrupted() {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    if let (Ok(mut terminate), Ok(mut interrupt)) = signals {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}

/// A scheduled job of one short task, each hour from 1970 on: its `start_at_ms` is 0, and thus left
/// out.
fn due_job() -> String {
    r#"{"spec":"50","phases":[{"count":1,"cpu":100,"mem_mb":50,"estimate_ms":50}],"times":100000,"interval_ms":3600000}"#
        .to_owned()
}

/// For how long the entry of a worker that has crashed stays: three of its heartbeats.
const LISTED: Duration = Duration::from_secs(3);

/// Submits a job to each of the queues that waits for a worker of a kind that is not there, and ordinary
/// small jobs beside them: the small jobs must not stop.
async fn beside_long_names(
    record: &Record,
    trouble: bool,
    queues: Vec<String>,
) -> Result<Vec<String>> {
    let mut deployment = Deployment::start(16, &queues, record).await?;
    let mut traffic = Traffic::new(&deployment, record);
    for (number, queue) in queues.iter().enumerate() {
        let body = r#"{"spec":"100","phases":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100,"constraints":"kind-2"}]}"#;
        let job = Job::of_queue(0xa000 + number as u64, queue, body.to_owned());
        if !traffic.submit(&job).await {
            return Err(format!("the job of {queue} was not accepted").into());
        }
    }
    traffic.small_jobs(Duration::from_secs(10)).await;
    if trouble {
        deployment.workers.crash("w3");
        record.add("the worker w3 crashes for good".to_owned());
        traffic.small_jobs(LISTED).await;
        deployment.workers.remove("w3");
        record.add("the entry of w3 is removed".to_owned());
    }
    traffic.small_jobs(Duration::from_secs(30)).await;
    let lost_worker = trouble.then_some("w3");
    let broken = traffic.judge(&deployment, lost_worker).await;
    add_logs(
        &mut deployment,
        record,
        &["taken over", "resign", "no heartbeats", "now led by"],
    );
    Ok(broken)
}

/// Adds the lines with any of these words in the instances' logs to the record, up to a number.
fn add_logs(deployment: &mut Deployment, record: &Record, words: &[&str]) {
    for index in 0..deployment.instances.len() {
        let log = deployment.log(index);
        let ended = deployment.instances[index].has_ended();
        let name = &deployment.instances[index].name;
        record.add(format!("process {name}: ended={ended:?}"));
        for word in words {
            let lines: Vec<_> = log.lines().filter(|line| line.contains(word)).collect();
            record.add(format!(
                "log of {name}: {} lines with {word:?}",
                lines.len()
            ));
            for line in lines.iter().take(4) {
                record.add(format!("log of {name}: {line}"));
            }
        }
    }
}

/// Ordinary small jobs, and `job` among them: the small jobs must not stop.
async fn stuck_by(record: &Record, trouble: bool, job: String) -> Result<Vec<String>> {
    let mut deployment = Deployment::start(6, &[], record).await?;
    let mut traffic = Traffic::new(&deployment, record);
    traffic.small_jobs(Duration::from_secs(5)).await;
    if trouble {
        let large = Job::other(0xb16_0000, job);
        let accepted = traffic.submit(&large).await;
        record.add(format!(
            "client: the large job {} is accepted: {accepted}",
            large.id
        ));
        if !accepted {
            return Err("the large job was not accepted".into());
        }
    }
    for _ in 0..6 {
        traffic.small_jobs(Duration::from_secs(5)).await;
        for instance in &mut deployment.instances {
            let ended = instance.has_ended();
            record.add(format!(
                "process {} memory_mb={} ended={ended:?}",
                instance.name,
                instance.memory_mb()
            ));
        }
    }
    let broken = traffic.judge(&deployment, None).await;
    let words = [
        "taken over",
        "resign",
        "stalled",
        "may not be stored",
        "panicked",
    ];
    add_logs(&mut deployment, record, &words);
    Ok(broken)
}
