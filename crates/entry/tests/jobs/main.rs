//! Tests of jobs with real entry processes, and with stand-ins for the store, the workers and the
//! callers of the users' platform.
//!
//! Only one deployment runs at a time, so that tests do not compete for the machine.

mod admission;
mod common;
mod config;
mod deputies;
mod evacuation;
mod many_ends;
mod outages;
mod overload;
mod path;
mod restarts;
mod throttle;
