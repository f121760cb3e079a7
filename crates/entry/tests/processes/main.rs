//! Proofs over real processes: entry instances amid stand-ins that fail on demand.
//!
//! One deployment runs at a time, so that tests do not take the machine from each other.

mod capacity;
mod common;
mod interfaces;
mod operations;
mod path;
mod requests;
mod tasks;
