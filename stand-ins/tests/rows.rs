//! The stand-in for the store, as the project's own client of the store sees it.

use {
    marigoldbend_core::clock::SystemClock,
    marigoldbend_platform::{
        rows::{Range, RowKey, Tx, TxOutcome},
        store::{Store, StoreError},
    },
    marigoldbend_wire::store::WIRE,
    stand_ins::rows::{Faults, Outage, RowStore},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

async fn start() -> (RowStore, Arc<Store>) {
    let rows = RowStore::start(Duration::from_millis(1)).await;
    let rows = rows.expect("the store starts");
    let client = Store::new(rows.address(), WIRE, Arc::new(SystemClock));
    (rows, Arc::new(client))
}

fn put(key: &str, expected_version: u64) -> Tx {
    let name = RowKey::new("t", "p q", key);
    Tx {
        expect: vec![(name.clone(), expected_version)],
        puts: vec![(name, key.as_bytes().to_vec())],
        deletes: Vec::new(),
    }
}

#[tokio::test]
async fn only_a_transaction_that_expects_the_current_versions_takes_effect() {
    let (_rows, client) = start().await;
    assert_eq!(client.tx(&put("a", 0)).await, Ok(TxOutcome::Applied(1)));
    let Ok(TxOutcome::Conflict(current)) = client.tx(&put("a", 0)).await else {
        panic!("a conflict was expected");
    };
    assert_eq!((current[0].version, &*current[0].value), (1, &b"a"[..]));
    let delete = Tx {
        expect: vec![(RowKey::new("t", "p q", "a"), 1)],
        deletes: vec![RowKey::new("t", "p q", "a")],
        ..Tx::default()
    };
    assert_eq!(client.tx(&delete).await, Ok(TxOutcome::Applied(2)));
    assert_eq!(client.tx(&put("a", 0)).await, Ok(TxOutcome::Applied(3)));
}

#[tokio::test]
async fn ranges_and_feeds_of_several_pages_are_complete() {
    let (rows, client) = start().await;
    for i in 0..1_201 {
        rows.put(RowKey::new("t", "p", &format!("k{i:04}")), Vec::new());
        rows.put(RowKey::new("other", "p", "k"), Vec::new());
    }
    rows.put(RowKey::new("t", "q", "k0000"), Vec::new());
    let range = Range {
        table: "t",
        part: "p",
        from: "k0001",
        to: "k1200",
        limit: None,
    };
    let page = client.range(&range).await.expect("the range is read");
    let keys: Vec<_> = page.rows.iter().map(|row| row.name.key.clone()).collect();
    let expected: Vec<_> = (1..1_200).map(|i| format!("k{i:04}")).collect();
    assert_eq!(keys, expected);
    let mut after = 0;
    let mut changed = 0;
    while changed < 1_202 {
        let page = client.feed("t", after, Duration::ZERO).await;
        let page = page.expect("the feed is read");
        assert!(page.version > after, "the feed ended after {changed} rows");
        after = page.version;
        changed += page.rows.len();
    }
    assert_eq!((changed, after), (1_202, 2_403));
}

#[tokio::test]
async fn a_feed_waits_for_a_change_of_its_table() {
    let (rows, client) = start().await;
    rows.put(RowKey::new("t", "", "a"), Vec::new());
    let waiting = {
        let client = client.clone();
        tokio::spawn(async move { client.feed("t", 1, Duration::from_secs(20)).await })
    };
    rows.put(RowKey::new("other", "", "b"), Vec::new());
    rows.put(RowKey::new("t", "", "c"), Vec::new());
    let page = waiting.await.expect("the call ends");
    let page = page.expect("the feed is read");
    assert_eq!(page.rows.len(), 1);
    assert_eq!((&*page.rows[0].name.key, page.version), ("c", 3));
    let page = client.feed("t", 3, Duration::from_millis(20)).await;
    assert_eq!(page.expect("the feed is read").rows, []);
}

#[tokio::test]
async fn injected_faults_refuse_a_call_or_lose_the_reply_of_one_that_took_effect() {
    let (rows, client) = start().await;
    rows.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    assert_eq!(client.tx(&put("a", 0)).await, Err(StoreError::NotApplied));
    rows.set_faults(Faults {
        lose_reply_every: 1,
        ..Faults::default()
    });
    assert_eq!(client.tx(&put("a", 0)).await, Err(StoreError::Unknown));
    let row = rows.row(&RowKey::new("t", "p q", "a"));
    assert_eq!(row.map(|row| row.version), Some(1));
}

#[tokio::test]
async fn an_outage_of_an_endpoint_ends_calls_that_wait() {
    let (rows, other_client) = start().await;
    rows.put(RowKey::new("t", "", "a"), Vec::new());
    let wait = Duration::from_millis(300);
    for (outage, error) in [
        (Outage::Busy, StoreError::NotApplied),
        (Outage::Reset, StoreError::Unknown),
        (Outage::Silent, StoreError::Unknown),
    ] {
        let endpoint = rows.open_endpoint().await.expect("a free port");
        let client = Store::new(endpoint.address(), WIRE, Arc::new(SystemClock));
        let after = rows
            .row(&RowKey::new("t", "", "a"))
            .map_or(0, |row| row.version);
        let (waiting, ()) = tokio::join!(client.feed("t", after, wait), async {
            // The outage ends the call only if the call has arrived by then.
            sleep(wait / 3).await;
            endpoint.set_outage(Some(outage));
        });
        assert_eq!(waiting.err(), Some(error), "{outage:?}");
        let others = other_client.feed("t", 0, Duration::ZERO).await;
        assert!(others.is_ok(), "{outage:?}: {others:?}");
        endpoint.set_outage(None);
        let page = client.feed("t", 0, Duration::ZERO).await;
        assert!(page.is_ok(), "{outage:?}: {page:?}");
    }
}
