//! Log output that never makes the process wait.
//!
//! Lines go into a bounded queue; a thread writes what has gathered in one call. When the
//! output is too slow, lines are dropped and counted.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

/// Lines that may wait to be written.
const QUEUE: usize = 8_192;

/// How long lines gather before they are written together.
const GATHERING: Duration = Duration::from_millis(25);

/// Lines that were dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// The end of the queue that the logger writes to.
#[derive(Clone, Debug)]
pub struct LogWriter {
    tx: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl LogWriter {
    /// Starts the thread that writes to `to`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread can't be started.
    pub fn start(to: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE);
        let thread = thread::Builder::new().name("logs".to_owned());
        thread.spawn(move || write(&rx, to))?;
        Ok(Self {
            tx,
            line: Vec::new(),
        })
    }
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.ends_with(b"\n") && self.tx.try_send(std::mem::take(&mut self.line)).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            self.line.clear();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(rx: &Receiver<Vec<u8>>, mut to: impl Write) {
    while let Ok(mut lines) = rx.recv() {
        thread::sleep(GATHERING);
        while let Ok(line) = rx.try_recv() {
            lines.extend_from_slice(&line);
        }
        // Nobody could be told that the log can't be written.
        let _ = to.write_all(&lines).and_then(|()| to.flush());
    }
}
