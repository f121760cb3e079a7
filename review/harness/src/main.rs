//! Plays one case of review/ and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. The environment variable TROUBLE=0 leaves the disruption out.
//!
//! Usage: review-harness CASE RECORD, from the repository's root.

mod cases;
mod deployment;
mod record;
#[allow(dead_code)]
#[path = "../../../stand-ins/src/rows.rs"]
mod rows;
mod worker;

use {record::Record, std::process::exit, std::time::Duration};

/// The service of the workers.
const SERVICE: &str = "sds-author";

/// The queue's path and host.
const QUEUE: &str = "review";
const HOST_NAME: &str = "review.example";

#[tokio::main]
async fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review-harness CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    record.line(format!("case {case} trouble={has_trouble}"));
    let played = tokio::time::timeout(
        Duration::from_secs(110),
        cases::play(case, &record, has_trouble),
    );
    let code = match played.await {
        Ok(Ok(breaks)) if breaks.is_empty() => {
            println!("the rule held");
            record.line("result: the rule held");
            0
        }
        Ok(Ok(breaks)) => {
            println!("the rule was broken {} times; the first:", breaks.len());
            record.line(format!(
                "result: the rule was broken {} times",
                breaks.len()
            ));
            for line in &breaks {
                record.line(line.as_str());
            }
            for line in breaks.iter().take(3) {
                println!("  {line}");
            }
            1
        }
        Ok(Err(e)) => {
            println!("the case could not run: {e}");
            record.line(format!("result: the case could not run: {e}"));
            2
        }
        Err(_) => {
            println!("the case could not run: it took too long");
            record.line("result: the case could not run: it took too long");
            2
        }
    };
    record.write(path);
    exit(code);
}
