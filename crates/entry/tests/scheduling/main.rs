//! The settings of an instance that schedules jobs: valid values, errors and changes at run time.

mod reload;
mod settings;

/// Settings with all keys that a deployment sets.
const SETTINGS: &str = "
[instance]
name = a1
failure_domain = z1
[listen]
callers = 127.0.0.1:7001
readiness = 127.0.0.1:7002
peers = 127.0.0.1:7003
[scheduler]
store = 127.0.0.1:7004
advice =
failure_domains = z1,z2
control_mode = call
max_lease_ms = 6000
drain_ms = 2000
grace_ms = 6000
keep_s = 120
";
