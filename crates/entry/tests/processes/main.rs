//! Tests with real entry processes, and with stand-ins for the platform, the workers and the
//! callers in which the tests inject faults.
//!
//! Only one deployment runs at a time, so that tests do not compete for the machine.

mod capacity;
mod common;
mod interfaces;
mod operations;
mod path;
mod requests;
mod tasks;
