//! Parsing and checking of a completed questionnaire.

use {
    ini::{Ini, Properties},
    snafu::Snafu,
    std::str::FromStr,
};

/// A result of parsing answers.
pub type Result<T, E = AnswersError> = std::result::Result<T, E>;

/// Why a questionnaire is invalid, with the section and key or the line of the error.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{place}: {problem}"))]
pub struct AnswersError {
    place: String,
    problem: String,
}

impl AnswersError {
    fn new(place: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            place: place.into(),
            problem: problem.into(),
        }
    }
}

/// How a service handles requests beyond its capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AtPeak {
    /// The service refuses them quickly.
    Refusal,
    /// The service lets them wait in a queue.
    Wait,
}

/// The share of a worker's slots that the tasks of a batch class may use together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Share {
    /// A quarter.
    Little,
    /// A half.
    Half,
    /// The fallback share: all slots that the worker's owner may use while its ownership is not
    /// confirmed.
    Most,
}

/// The answers about a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerAnswers {
    /// The maximum number of requests and tasks that a worker runs at once.
    pub slots: u32,
    /// The maximum number of open connections to a worker.
    pub connections: u32,
}

/// The answers about importance, each from 0 (does not matter) to 10 (matters most).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Importance {
    /// The importance of low tail latency.
    pub tail_latency: u32,
    /// The importance of few evictions.
    pub evictions: u32,
    /// The importance of batch throughput.
    pub batch_progress: u32,
}

/// The answers about one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceAnswers {
    /// The service's name.
    pub name: String,
    /// The longest delay after which a response is still useful, in milliseconds.
    pub delay_ms: u64,
    /// Whether a person waits for the response.
    pub waited_for: bool,
    /// How the service handles requests beyond its capacity.
    pub at_peak: AtPeak,
}

/// The answers about one class of batch work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BatchAnswers {
    /// The class's name.
    pub name: String,
    /// Whether its tasks can be checkpointed.
    pub checkpoints: bool,
    /// The share of a worker's slots that its tasks may use together.
    pub share: Share,
}

/// The answers about one team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamAnswers {
    /// The team's name.
    pub name: String,
    /// The maximum number of the team's tasks that run at once in one failure domain.
    pub running_tasks: u32,
}

/// The answers of a completed questionnaire.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answers {
    /// The answers about workers.
    pub worker: WorkerAnswers,
    /// The answers about importance.
    pub importance: Importance,
    /// The answers about each service.
    pub services: Vec<ServiceAnswers>,
    /// The answers about each batch class.
    pub batch: Vec<BatchAnswers>,
    /// The answers about each team.
    pub teams: Vec<TeamAnswers>,
}

impl Answers {
    /// Parses a completed questionnaire.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid section and key, or the line of a syntax error.
    pub fn parse(text: &str) -> Result<Self> {
        let ini = Ini::load_from_str_noescape(text);
        let ini = ini.map_err(|e| AnswersError::new(format!("line {}", e.line), e.msg))?;
        let mut worker = None;
        let mut importance = None;
        let (mut services, mut batch, mut teams) = (Vec::new(), Vec::new(), Vec::new());
        for (title, properties) in &ini {
            let Some(title) = title else {
                reject_keys_before_sections(properties)?;
                continue;
            };
            let section = Section { title, properties };
            match title.split_once(' ').unwrap_or((title, "")) {
                ("worker", "") => worker = Some(read_worker(&section)?),
                ("importance", "") => importance = Some(read_importance(&section)?),
                ("service", name) => services.push(read_service(&section, name)?),
                ("batch", name) => batch.push(read_batch(&section, name)?),
                ("team", name) => teams.push(read_team(&section, name)?),
                _ => return Err(AnswersError::new(format!("[{title}]"), "unknown section")),
            }
        }
        let missing = |section: &str| AnswersError::new(section, "the section is missing");
        Ok(Self {
            worker: worker.ok_or_else(|| missing("[worker]"))?,
            importance: importance.ok_or_else(|| missing("[importance]"))?,
            services,
            batch,
            teams,
        })
    }
}

fn reject_keys_before_sections(properties: &Properties) -> Result<()> {
    match properties.iter().next() {
        Some((key, _)) => Err(AnswersError::new(
            key,
            "the key stands before the first section",
        )),
        None => Ok(()),
    }
}

fn read_worker(section: &Section<'_>) -> Result<WorkerAnswers> {
    section.check_keys(&["slots", "connections"])?;
    Ok(WorkerAnswers {
        slots: section.parse("slots")?,
        connections: section.parse("connections")?,
    })
}

fn read_importance(section: &Section<'_>) -> Result<Importance> {
    section.check_keys(&["tail_latency", "evictions", "batch_progress"])?;
    Ok(Importance {
        tail_latency: section.grade("tail_latency")?,
        evictions: section.grade("evictions")?,
        batch_progress: section.grade("batch_progress")?,
    })
}

fn read_service(section: &Section<'_>, name: &str) -> Result<ServiceAnswers> {
    section.check_keys(&["delay_ms", "waited_for", "at_peak"])?;
    let at_peak = [("refusal", AtPeak::Refusal), ("wait", AtPeak::Wait)];
    Ok(ServiceAnswers {
        name: section.name(name)?,
        delay_ms: section.parse("delay_ms")?,
        waited_for: section.yes_or_no("waited_for")?,
        at_peak: section.one_of("at_peak", &at_peak)?,
    })
}

fn read_batch(section: &Section<'_>, name: &str) -> Result<BatchAnswers> {
    section.check_keys(&["checkpoints", "share"])?;
    let shares = [
        ("little", Share::Little),
        ("half", Share::Half),
        ("most", Share::Most),
    ];
    Ok(BatchAnswers {
        name: section.name(name)?,
        checkpoints: section.yes_or_no("checkpoints")?,
        share: section.one_of("share", &shares)?,
    })
}

fn read_team(section: &Section<'_>, name: &str) -> Result<TeamAnswers> {
    section.check_keys(&["running_tasks"])?;
    Ok(TeamAnswers {
        name: section.name(name)?,
        running_tasks: section.parse("running_tasks")?,
    })
}

/// A section of the questionnaire, with methods that parse its values and name it in errors.
struct Section<'a> {
    title: &'a str,
    properties: &'a Properties,
}

impl Section<'_> {
    fn error(&self, key: &str, problem: impl Into<String>) -> AnswersError {
        AnswersError::new(format!("[{}] {key}", self.title), problem)
    }

    fn check_keys(&self, known_keys: &[&str]) -> Result<()> {
        for (key, _) in self.properties.iter() {
            if !known_keys.contains(&key) {
                return Err(self.error(key, "the key is unknown"));
            }
            if self.properties.get_all(key).count() > 1 {
                return Err(self.error(key, "the key is given twice"));
            }
        }
        Ok(())
    }

    fn get(&self, key: &str) -> Result<&str> {
        let value = self.properties.get(key).map(str::trim);
        value.ok_or_else(|| self.error(key, "the key is missing"))
    }

    fn name(&self, name: &str) -> Result<String> {
        match name.trim() {
            "" | "NAME" => Err(self.error("", "the section needs a name of its own")),
            name => Ok(name.to_owned()),
        }
    }

    fn parse<T: FromStr>(&self, key: &str) -> Result<T>
    where
        T::Err: std::fmt::Display,
    {
        let value = self.get(key)?;
        let parsed = value.parse();
        parsed.map_err(|e: T::Err| self.error(key, format!("{value:?}: {e}")))
    }

    fn grade(&self, key: &str) -> Result<u32> {
        match self.parse(key)? {
            grade @ 0..=10 => Ok(grade),
            other => Err(self.error(key, format!("{other} is not within 0 to 10"))),
        }
    }

    fn yes_or_no(&self, key: &str) -> Result<bool> {
        self.one_of(key, &[("yes", true), ("no", false)])
    }

    fn one_of<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T> {
        let value = self.get(key)?;
        let chosen = choices.iter().find(|(name, _)| *name == value);
        chosen.map(|(_, choice)| *choice).ok_or_else(|| {
            let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
            self.error(key, format!("{value:?} is none of {}", names.join(", ")))
        })
    }
}
