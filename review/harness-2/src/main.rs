//! Runs one case of the review: `review-harness-2 CASE RECORD`. It exits with 1 if the rule was
//! broken, with 0 if it held, and with 2 if the case couldn't run. With TROUBLE=0 in the environment
//! there is no disruption.

mod cases;
mod deploy;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::process::exit;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: review-harness-2 CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = cases::run(&name, &path, trouble);
    println!("case={name} trouble={trouble} verdict={verdict:?}");
    exit(match verdict {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    });
}
