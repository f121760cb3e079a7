//! Log output that never blocks the threads that log.
//!
//! Lines go into a bounded queue, and a thread of its own writes them from there in batches. If the
//! queue is full because the output is too slow, lines are dropped and counted.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

/// The capacity of the queue, in lines.
const QUEUE_LINES: usize = 8_192;

/// How long lines are collected before they are written as one batch.
const BATCH_DELAY: Duration = Duration::from_millis(25);

/// The number of lines dropped since the process started.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// The writer for the logger, which sends whole lines to the queue.
#[derive(Clone, Debug)]
pub struct LogWriter {
    tx: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl LogWriter {
    /// Starts the thread that writes the lines to `output`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        let thread = thread::Builder::new().name("logs".to_owned());
        thread.spawn(move || write_lines(&rx, output))?;
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
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            self.line.clear();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut lines) = rx.recv() {
        thread::sleep(BATCH_DELAY);
        while let Ok(line) = rx.try_recv() {
            lines.extend_from_slice(&line);
        }
        // There is nowhere to report that the log can't be written.
        let _ = output.write_all(&lines).and_then(|()| output.flush());
    }
}
