//! An entry instance of marigoldbend as a library: its settings, sockets and threads.
//!
//! The binary `marigoldbend-entry` runs [`entry::Entry`], or [`scheduling::run`] if the settings
//! have a section `[scheduler]`. Tests and the example start several instances in one process.
//!
//! # Examples
//!
//! ```no_run
//! use marigoldbend_entry::{entry::Entry, settings::Settings};
//!
//! let text = "
//! [instance]
//! name = a1
//! domain = 1
//! [listen]
//! callers = 127.0.0.1:0
//! operators = 127.0.0.1:0
//! peers = 127.0.0.1:0
//! [platform]
//! url = http://127.0.0.1:7000
//! ";
//! let settings = Settings::parse(text).expect("valid settings");
//! let entry = Entry::start(settings).expect("the ports are free");
//! println!("callers connect to {}", entry.addresses().callers);
//! entry.stop();
//! assert!(entry.join());
//! ```

mod callers;
mod control;
mod convert;
mod directory;
pub mod entry;
mod idempotency;
mod jobs;
pub mod limits;
pub mod listen;
pub mod log_writer;
mod metrics;
mod operators;
pub mod panics;
mod pool;
pub mod reload;
mod router;
pub mod scheduling;
pub mod settings;
mod worker;
