//! Runs the stand-ins for the platform and for the workers of three failure domains in one process,
//! for entry instances that are started by hand.

use {
    pico_args::Arguments,
    stand_ins::{
        platform::Platform,
        workers::{ServiceTime, Workers, WorkersConfig},
    },
    std::{error::Error, future::pending, net::SocketAddr},
};

const HELP: &str = "\
Runs stand-ins for the platform and the workers until the process is stopped.

  --platform ADDRESS  listen address of the platform; the workers use its IP (required)
  --service NAME      name of the service (default: inspection)
  --per-domain N      workers in each of three failure domains (default: 16)
  --mean-ms N         mean service time in milliseconds (default: 20)
";

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let platform: SocketAddr = args.value_from_str("--platform")?;
    let service = args.opt_value_from_str("--service")?;
    let cfg = WorkersConfig {
        first_id: 1,
        per_domain: args.opt_value_from_str("--per-domain")?.unwrap_or(16),
        domains: vec![1, 2, 3],
        service: service.unwrap_or_else(|| "inspection".to_owned()),
        ip: platform.ip(),
        service_time: ServiceTime {
            mean_ms: args.opt_value_from_str("--mean-ms")?.unwrap_or(20.0),
            cv: 1.0,
            slowdown: 0.02,
        },
        seed: 1,
    };
    tokio::runtime::Runtime::new()?.block_on(async {
        let platform = Platform::start(platform).await?;
        let workers = Workers::start(&cfg).await?;
        platform.update_list(|list| list.workers = workers.listed());
        println!("platform at {}", platform.url());
        pending::<()>().await;
        Ok(())
    })
}
