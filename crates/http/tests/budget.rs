//! Reading bodies within a budget, without a network.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request,
        body::{Body, Frame},
    },
    marigoldbend_core::byte_budget::BudgetLimits,
    marigoldbend_http::{
        body::BodyError,
        budget::{Budget, MessageTimes},
        counters::Counters,
    },
    std::{
        convert::Infallible,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
};

const LIMITS: BudgetLimits = BudgetLimits {
    large_pool: 400 << 10,
    small_pool: 64 << 10,
    small_message: 8 << 10,
    min_close_age: Duration::ZERO,
};

/// The maximum length of a body, in bytes.
const MAX_BYTES: usize = 128 << 10;

/// A body of a declared length that sends `left` bytes in pieces and then stops.
struct Unfinished {
    left: usize,
}

impl Body for Unfinished {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let bytes = self.left.min(1_000);
        if bytes == 0 {
            return Poll::Pending;
        }
        self.left -= bytes;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![0; bytes])))))
    }
}

fn budget(times: MessageTimes) -> Arc<Budget> {
    Budget::new(LIMITS, times, 1, Arc::<Counters>::default())
}

fn parts() -> hyper::http::request::Parts {
    Request::new(()).into_parts().0
}

/// Guards against bytes that stay reserved after a body is gone, and against a buffer much longer
/// than its body.
#[tokio::test]
async fn bytes_are_reserved_until_the_body_is_dropped() {
    let budget = budget(MessageTimes::default());
    let in_flight = || budget.counters().bytes_in_flight.get() as usize;
    for bytes in [1, 5_000, 100_000] {
        let sent = Bytes::from(vec![7; bytes]);
        let body = Full::new(sent.clone());
        let read = budget.read(&parts(), body, MAX_BYTES).await;
        let read = read.expect("the body is in bounds");
        assert_eq!(read, sent);
        // A long body is counted once more while it is handled.
        let handled = if bytes > LIMITS.small_message {
            bytes
        } else {
            0
        };
        assert!((bytes + handled..=bytes + handled + 2_048).contains(&in_flight()));
        let part = read.slice(..1);
        drop(read);
        assert_ne!(in_flight(), 0, "a part of the body is still in use");
        drop(part);
        assert_eq!(in_flight(), 0);
    }
}

/// Guards against a body that takes memory although it is longer than the limit.
#[tokio::test]
async fn a_body_above_the_limit_is_refused() {
    let budget = budget(MessageTimes::default());
    let body = Full::new(Bytes::from(vec![0; MAX_BYTES + 1]));
    let read = budget.read(&parts(), body, MAX_BYTES).await;
    assert_eq!(read, Err(BodyError::TooLong));
    let body = Unfinished {
        left: MAX_BYTES + 1,
    };
    let read = budget.read(&parts(), body, MAX_BYTES).await;
    assert_eq!(read, Err(BodyError::TooLong));
    assert_eq!(budget.counters().bytes_in_flight.get(), 0);
}

/// Guards against a body that stops and is kept.
#[tokio::test]
async fn a_body_that_stops_is_closed() {
    let times = MessageTimes {
        window: Duration::from_millis(20),
        ..MessageTimes::default()
    };
    let budget = budget(times);
    let body = Unfinished { left: 100_000 };
    let read = budget.read(&parts(), body, MAX_BYTES).await;
    assert_eq!(read, Err(BodyError::TooSlow));
    assert_eq!(budget.counters().bytes_in_flight.get(), 0);
    assert_eq!(budget.counters().messages_slow.get(), 1);
}

/// Guards against a crowd of unfinished bodies that exceeds the budget or keeps others out.
#[tokio::test]
async fn a_crowd_of_unfinished_bodies_is_displaced() {
    let budget = budget(MessageTimes::default());
    let mut crowd = tokio::task::JoinSet::new();
    for _ in 0..50 {
        let shared = budget.clone();
        crowd.spawn(async move {
            let body = Unfinished { left: 100_000 };
            shared.read(&parts(), body, MAX_BYTES).await
        });
        tokio::task::yield_now().await;
        let in_flight = budget.counters().bytes_in_flight.get() as usize;
        assert!(in_flight <= LIMITS.large_pool + LIMITS.small_pool);
    }
    let body = Full::new(Bytes::from(vec![7; 100_000]));
    let read = budget.read(&parts(), body, MAX_BYTES).await;
    assert_eq!(read.map(|body| body.len()), Ok(100_000));
    let displaced = budget.counters().messages_displaced.get();
    assert!(displaced >= 40, "{displaced}");
}
