//! The limits of an instance's listeners that follow from its memory and descriptors.

use {marigoldbend_entry::limits::InstanceLimits, test_case::test_case};

/// Guards against listeners that together use up the descriptors, and against a share that serves
/// nobody.
#[test_case(160, 4_100; "smallest memory")]
#[test_case(512, 8_192; "largest")]
#[test_case(16, 64; "lowest settings")]
fn the_connections_leave_descriptors_for_outgoing_ones(memory_mb: u64, max_fds: u64) {
    let limits = InstanceLimits::new(Some(memory_mb), Some(max_fds), 1 << 16, 3);
    let (callers, internal) = (limits.callers.connections, limits.internal.connections);
    let incoming = callers + 2 * internal + limits.peers.connections;
    let outgoing = max_fds - incoming as u64;
    assert!(outgoing >= 1_280.min(max_fds / 2), "{outgoing}");
    assert!(callers >= 20, "{callers}");
    assert!(internal >= 2, "{internal}");
    assert!(limits.peers.connections >= 4);
    // A header section and a connection take up to 40 KiB.
    assert!(callers as u64 * 40 <= memory_mb * 1_024 / 6, "{callers}");
}

/// Guards against limits of a deployment that states none.
#[test]
fn without_settings_nothing_is_closed_for_others() {
    let limits = InstanceLimits::new(None, None, 1 << 16, 3);
    assert_eq!(limits.callers.connections, 4_096);
    assert_eq!(limits.internal.connections, 4_096);
    assert_eq!(limits.peers.connections, 1_024);
    assert!(limits.callers.close_age.is_none() && limits.peers.close_age.is_none());
    assert!(limits.callers.http2.is_none() && limits.callers.sockets.is_none());
    let parts = hyper::Request::new(()).into_parts().0;
    let held: Vec<_> = (0..10_000)
        .map(|_| limits.budget.hold(&parts.headers))
        .collect();
    assert!(held.iter().all(Result::is_ok));
}
