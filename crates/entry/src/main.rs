//! `marigoldbend-entry SETTINGS.ini`: runs one entry instance until it is stopped.

use {
    marigoldbend_entry::{
        entry::Entry,
        log_writer::LogWriter,
        panics,
        reload::SettingsReloader,
        scheduling,
        settings::{LogLevel, Settings, scheduling::Settings as SchedulingSettings},
    },
    pico_args::Arguments,
    simplelog::{ConfigBuilder, WriteLogger},
    std::{
        env, fs, io,
        path::{Path, PathBuf},
        process::ExitCode,
    },
    tokio::signal::unix::{SignalKind, signal},
};

const HELP: &str = "\
Runs one entry instance of marigoldbend.

Usage: marigoldbend-entry [--check] [SETTINGS.ini]

  --check   check the settings and exit

Without SETTINGS.ini, the environment variable MARIGOLDBEND_CONFIG names the file. A file
with a section [scheduler] is for an instance that schedules jobs on a platform with a store.

  --help    print this text

SIGTERM and SIGINT shut it down gracefully.
Exit codes: 0 graceful shutdown, 1 failure, 2 invalid arguments or settings.
";

/// The environment variable that names the settings file if no argument does.
const SETTINGS_VARIABLE: &str = "MARIGOLDBEND_CONFIG";

fn main() -> ExitCode {
    panics::abort_on_panic();
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(Failure::Usage(problem)) => {
            eprintln!("marigoldbend-entry: {problem}");
            ExitCode::from(2)
        }
        Err(Failure::Run(problem)) => {
            eprintln!("marigoldbend-entry: {problem}");
            ExitCode::from(1)
        }
    }
}

/// Why the process fails.
enum Failure {
    /// The arguments or settings are invalid.
    Usage(String),
    /// The instance could not be started or run.
    Run(String),
}

fn run() -> Result<bool, Failure> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(true);
    }
    let check = args.contains("--check");
    let path = args.opt_free_from_str::<PathBuf>();
    let path = path.map_err(|e| Failure::Usage(e.to_string()))?;
    let path = path.or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let path =
        path.ok_or_else(|| Failure::Usage("SETTINGS.ini is missing; see --help".to_owned()))?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(Failure::Usage(format!("unexpected argument {:?}", rest[0])));
    }
    let text = fs::read_to_string(&path).unwrap_or_default();
    if SchedulingSettings::is_for_scheduler(&text) {
        return run_scheduling(&path, check);
    }
    let settings = Settings::load(&path).map_err(|e| Failure::Usage(e.to_string()))?;
    if check {
        println!("{}: the settings are valid", path.display());
        return Ok(true);
    }
    start_log(settings.log_level, io::stderr())?;
    let entry = Entry::start(settings).map_err(|e| Failure::Run(e.to_string()))?;
    wait_for_end(&entry).map_err(|e| Failure::Run(e.to_string()))?;
    Ok(entry.join())
}

fn run_scheduling(path: &Path, check: bool) -> Result<bool, Failure> {
    let settings = SchedulingSettings::load(path).map_err(|e| Failure::Usage(e.to_string()))?;
    if check {
        println!("{}: the settings are valid", path.display());
        return Ok(true);
    }
    let output = LogWriter::start(io::stdout()).map_err(|e| Failure::Run(e.to_string()))?;
    // The logger accepts all levels, since a reload of the settings may raise the level.
    start_log(LogLevel::Trace, output)?;
    log::set_max_level(settings.log_level);
    let reloader =
        SettingsReloader::new(path, settings).map_err(|e| Failure::Run(e.to_string()))?;
    scheduling::run(reloader).map_err(|e| Failure::Run(e.to_string()))
}

fn start_log(level: LogLevel, output: impl io::Write + Send + 'static) -> Result<(), Failure> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(log::LevelFilter::Off)
        .set_thread_level(log::LevelFilter::Off)
        .build();
    WriteLogger::init(level, config, output).map_err(|e| Failure::Run(e.to_string()))
}

/// Waits for a signal or an operator's drain, then starts the shutdown of the instance.
fn wait_for_end(entry: &Entry) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => log::info!("entry: received SIGTERM."),
            _ = interrupt.recv() => log::info!("entry: received SIGINT."),
            () = entry.wait_for_stop() => {}
        }
        entry.stop();
        Ok(())
    })
}
