//! Tests of scheduling when work and workers are uneven, without a network.

mod faulty;
mod lateness;
mod run_times;
mod second_runs;
mod stuck;
mod world;
