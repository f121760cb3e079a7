//! Tests that the queue of the control thread stays short while the thread is behind.

use {
    marigoldbend_scheduler::control::{Control, Event, deliver_event, deliver_urgent_event},
    std::time::Duration,
    tokio::time::timeout,
    xtra::Mailbox,
};

/// Guards against ticks, heartbeats and rows that pile up while the control thread is behind, and
/// keep it behind.
#[tokio::test]
async fn sources_of_events_wait_until_the_last_event_is_handled() {
    let (address, mailbox) = Mailbox::<Control>::unbounded();
    let delivery = deliver_urgent_event(&address, Event::Tick);
    assert!(timeout(Duration::ZERO, delivery).await.is_err());
    let delivery = deliver_event(&address, Event::Tick);
    assert!(timeout(Duration::ZERO, delivery).await.is_err());
    drop(mailbox);
}
