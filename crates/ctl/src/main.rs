//! `marigoldctl`: the command line tool for operators.

use {
    marigoldbend::{
        core::{config::Config, ids::Version},
        operator::{
            answers::Answers,
            client::OperatorClient,
            plan::{Plan, plan},
            questionnaire,
        },
    },
    pico_args::Arguments,
    serde_json::{Value, json},
    std::{fs, net::SocketAddr, path::PathBuf, process::ExitCode},
};

const HELP: &str = "\
Operates marigoldbend.

Usage: marigoldctl COMMAND [OPTIONS]

  questionnaire                  print an empty questionnaire
  plan ANSWERS [--json]          show the resulting configuration, each value with its answer
  apply ANSWERS --to ADDRESS     put the resulting configuration in force
        [--expect VERSION]       fail unless this version is in force
  status --to ADDRESS [--json]   show the state of an instance and its workers
  jobs ID --to ADDRESS           show a job
  drain --to ADDRESS             shut an instance down gracefully
  evacuate DOMAIN --to ADDRESS   start nothing more in a failure domain, and move long-running
        [--undo]                 tasks away; or take that back
  evacuations --to ADDRESS       show the evacuated failure domains and what still runs there
        [--json]
  check ANSWERS                  check a filled-in questionnaire

  --to ADDRESS  an entry instance's operator port, such as 127.0.0.1:7001
  --help        print this text

Exit codes: 0 success, 1 refused or failed, 2 invalid arguments or answers.
";

/// Why a command failed.
enum Failure {
    /// The arguments or the answers are invalid.
    Usage(String),
    /// The instance refused the command or could not be reached.
    Refused(String),
}

type Result<T, E = Failure> = std::result::Result<T, E>;

fn main() -> ExitCode {
    match run(Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Usage(problem)) => fail(2, &problem),
        Err(Failure::Refused(problem)) => fail(1, &problem),
    }
}

fn fail(code: u8, problem: &str) -> ExitCode {
    eprintln!("marigoldctl: {problem}");
    ExitCode::from(code)
}

fn run(mut args: Arguments) -> Result<()> {
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let command = args.subcommand().map_err(usage)?;
    let as_json = args.contains("--json");
    let undo = args.contains("--undo");
    let to: Option<SocketAddr> = args.opt_value_from_str("--to").map_err(usage)?;
    let expect: Option<u64> = args.opt_value_from_str("--expect").map_err(usage)?;
    let operand: Option<String> = args.opt_free_from_str().map_err(usage)?;
    if let Some(rest) = args.finish().first() {
        return Err(Failure::Usage(format!("unexpected argument {rest:?}")));
    }
    let operator = || {
        let missing = || Failure::Usage("--to ADDRESS is missing".to_owned());
        to.map(OperatorClient::new).ok_or_else(missing)
    };
    match command.as_deref() {
        Some("questionnaire") => {
            print!("{}", questionnaire::TEMPLATE);
            Ok(())
        }
        Some("plan") => show_plan(&read_plan(operand)?, as_json),
        Some("check") => {
            read_plan(operand)?;
            println!("the answers are complete");
            Ok(())
        }
        Some("apply") => block_on(apply(operator()?, read_plan(operand)?.config, expect)),
        Some("status") => block_on(status(operator()?, as_json)),
        Some("jobs") => block_on(job(operator()?, operand)),
        Some("drain") => block_on(drain(operator()?)),
        Some("evacuate") => block_on(evacuate(operator()?, operand, undo)),
        Some("evacuations") => block_on(evacuations(operator()?, as_json)),
        Some(other) => Err(Failure::Usage(format!(
            "unknown command {other:?}; see --help"
        ))),
        None => Err(Failure::Usage(
            "a command is missing; see --help".to_owned(),
        )),
    }
}

fn usage(error: pico_args::Error) -> Failure {
    Failure::Usage(error.to_string())
}

fn block_on(command: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .map_err(|e| Failure::Refused(e.to_string()))?
        .block_on(command)
}

/// Reads a filled-in questionnaire and derives the configuration from its answers.
fn read_plan(file: Option<String>) -> Result<Plan> {
    let file = file.ok_or_else(|| Failure::Usage("ANSWERS is missing".to_owned()))?;
    let path = PathBuf::from(file);
    let invalid = |problem: String| Failure::Usage(format!("{}: {problem}", path.display()));
    let text = fs::read_to_string(&path).map_err(|e| invalid(e.to_string()))?;
    let answers = Answers::parse(&text).map_err(|e| invalid(e.to_string()))?;
    plan(&answers).map_err(|e| invalid(e.to_string()))
}

fn show_plan(plan: &Plan, as_json: bool) -> Result<()> {
    if as_json {
        return print_json(&json!(plan.config));
    }
    for reason in &plan.reasons {
        println!(
            "{} = {}    ; from {}",
            reason.field, reason.value, reason.answer
        );
    }
    Ok(())
}

/// Puts a configuration in force, if the instance's current version is `expect`. If `expect` is
/// `None`, the current version is read first.
async fn apply(operator: OperatorClient, config: Config, expect: Option<u64>) -> Result<()> {
    let to_failure =
        |e: marigoldbend::operator::client::OperatorError| Failure::Refused(e.to_string());
    let expected = match expect {
        Some(version) => Version(version),
        None => operator.config().await.map_err(to_failure)?.0,
    };
    let result = operator.put_config(expected, &config).await;
    let version = result.map_err(|e| match e.is_version_conflict() {
        true => Failure::Refused(format!(
            "another operator changed the configuration first: {e}"
        )),
        false => to_failure(e),
    })?;
    println!("version {} is in force", version.0);
    Ok(())
}

async fn status(operator: OperatorClient, as_json: bool) -> Result<()> {
    let status = operator.status().await;
    let status = status.map_err(|e| Failure::Refused(e.to_string()))?;
    if as_json {
        return print_json(&status);
    }
    for key in [
        "name",
        "domain",
        "confirmed",
        "platform_up",
        "config_version",
        "row_version",
    ] {
        println!("{key}: {}", status[key]);
    }
    println!("live members: {}", status["live_members"]);
    let workers = status["workers"].as_array().cloned().unwrap_or_default();
    for worker in workers {
        println!(
            "worker {} {} limit={} in_use={} tasks={} {}",
            worker["id"],
            worker["epoch"],
            worker["limit"],
            worker["in_use"],
            worker["tasks"],
            worker["health"],
        );
    }
    Ok(())
}

async fn job(operator: OperatorClient, id: Option<String>) -> Result<()> {
    let id = id.ok_or_else(|| Failure::Usage("ID is missing".to_owned()))?;
    let job = operator.job(&id).await;
    print_json(&job.map_err(|e| Failure::Refused(e.to_string()))?)
}

async fn drain(operator: OperatorClient) -> Result<()> {
    let drained = operator.drain().await;
    drained.map_err(|e| Failure::Refused(e.to_string()))?;
    println!("the instance is shutting down");
    Ok(())
}

/// Evacuates a failure domain, or takes that back if `undo`.
async fn evacuate(operator: OperatorClient, domain: Option<String>, undo: bool) -> Result<()> {
    let domain = domain.ok_or_else(|| Failure::Usage("DOMAIN is missing".to_owned()))?;
    let reply = operator.set_evacuated(&domain, !undo).await;
    let reply = reply.map_err(|e| Failure::Refused(e.to_string()))?;
    let verb = if undo { "taken back" } else { "evacuated" };
    match reply["binds_within_ms"].as_u64() {
        Some(ms) => println!("{domain} is {verb}, in force everywhere within {ms} ms"),
        None => println!("{domain} is {verb}"),
    }
    Ok(())
}

async fn evacuations(operator: OperatorClient, as_json: bool) -> Result<()> {
    let reply = operator.evacuations().await;
    let reply = reply.map_err(|e| Failure::Refused(e.to_string()))?;
    if as_json {
        return print_json(&reply);
    }
    let evacuations = reply["evacuations"].as_array().cloned().unwrap_or_default();
    if evacuations.is_empty() {
        println!("no failure domain is evacuated");
    }
    for evacuation in evacuations {
        println!(
            "{} emptied={} workers={} short_runs={} long_running_runs={}",
            evacuation["domain"].as_str().unwrap_or_default(),
            evacuation["emptied"],
            evacuation["workers"],
            evacuation["short_runs"],
            evacuation["long_running_runs"],
        );
    }
    Ok(())
}

fn print_json(value: &Value) -> Result<()> {
    let text = serde_json::to_string_pretty(value);
    println!("{}", text.map_err(|e| Failure::Refused(e.to_string()))?);
    Ok(())
}
