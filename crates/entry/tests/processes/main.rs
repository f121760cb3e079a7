//! Tests over real processes: entry instances amid stand-ins that fail on demand.
//!
//! Only one deployment runs at a time, so that tests do not compete for the machine.

mod capacity;
mod common;
mod interfaces;
mod operations;
mod path;
mod requests;
mod tasks;
