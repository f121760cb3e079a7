//! The platform and the workers of three failure domains, as one process.

use {
    pico_args::Arguments,
    stand_ins::{
        platform::Platform,
        workers::{ServiceTime, Workers, WorkersConfig},
    },
    std::{error::Error, future::pending, net::SocketAddr},
};

const HELP: &str = "\
Runs stand-ins of the platform and of workers until it is ended.

  --platform ADDRESS  where the platform listens
  --service NAME      the service (inspection)
  --per-domain N      workers in each of three failure domains (16)
  --mean-ms N         mean service time (20)
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
