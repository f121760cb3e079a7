//! What was sent, answered and run, for `record.txt`.

use {
    parking_lot::Mutex,
    std::{fs, io, path::Path, sync::Arc, time::Instant},
};

#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn add(&self, line: String) {
        self.add_at(Instant::now(), line);
    }

    pub fn add_at(&self, at: Instant, line: String) {
        self.lines.lock().push((self.at(at), line));
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let lines = lines.iter().map(|(at, line)| format!("{at:8.3} {line}\n"));
        fs::write(path, lines.collect::<String>())
    }
}
