//! The record of what was sent, answered and run.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// One run of a task.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub worker: String,
    pub task: String,
    pub attempt: u32,
    pub start: Instant,
    pub end: Option<(Instant, &'static str)>,
    /// Whether the worker lacked the label that the task needs.
    pub lacks_label: bool,
}

struct Inner {
    start: Instant,
    file: BufWriter<File>,
    runs: Vec<RunRecord>,
    open: HashMap<(String, String, u32), usize>,
    /// Whether single runs are written to the file.
    verbose: bool,
}

#[derive(Clone)]
pub struct Record(Arc<Mutex<Inner>>);

impl Record {
    pub fn create(path: &str, verbose: bool) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        let inner = Inner {
            start: Instant::now(),
            file,
            runs: Vec::new(),
            open: HashMap::new(),
            verbose,
        };
        Ok(Self(Arc::new(Mutex::new(inner))))
    }

    /// Writes a line with the time since the start.
    pub fn note(&self, words: &str) {
        self.0.lock().unwrap().note(words);
    }

    pub fn start(&self, worker: &str, task: &str, attempt: u32, lacks_label: bool) {
        let mut inner = self.0.lock().unwrap();
        if inner.verbose || lacks_label {
            let words = if lacks_label { " LACKS THE LABEL" } else { "" };
            inner.note(&format!(
                "run task={task} attempt={attempt} worker={worker} starts{words}"
            ));
        }
        let key = (worker.to_owned(), task.to_owned(), attempt);
        let index = inner.runs.len();
        inner.open.insert(key, index);
        inner.runs.push(RunRecord {
            worker: worker.to_owned(),
            task: task.to_owned(),
            attempt,
            start: Instant::now(),
            end: None,
            lacks_label,
        });
    }

    pub fn end(&self, worker: &str, task: &str, attempt: u32, how: &'static str) {
        let mut inner = self.0.lock().unwrap();
        if inner.verbose {
            inner.note(&format!(
                "run task={task} attempt={attempt} worker={worker} ends {how}"
            ));
        }
        let key = (worker.to_owned(), task.to_owned(), attempt);
        if let Some(index) = inner.open.remove(&key) {
            inner.runs[index].end = Some((Instant::now(), how));
        }
    }

    pub fn runs(&self) -> Vec<RunRecord> {
        self.0.lock().unwrap().runs.clone()
    }
}

impl Inner {
    fn note(&mut self, words: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file, "{at:9.3} {words}");
        let _ = self.file.flush();
    }
}
