//! Tests of scheduling when work and workers are uneven, without a network.

mod stuck;
mod world;
