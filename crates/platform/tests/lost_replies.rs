//! Tests that a write whose reply is lost takes effect at most once and gets the correct outcome.

use {
    marigoldbend_core::ids::Version,
    marigoldbend_platform::{
        group::{GroupWriter, WriteOutcome},
        table::{CommitOutcome, Table},
        wire::{Commit, Write},
    },
    serde_json::json,
    stand_ins::platform::{Faults, Platform},
    std::time::Duration,
    test_case::test_case,
    tokio::task::JoinSet,
};

const CALL_TIMEOUT: Duration = Duration::from_millis(60);
const COMMIT_TIMEOUT: Duration = Duration::from_secs(20);

async fn start(lose_replies_percent: u32) -> (Platform, Table) {
    let any = "127.0.0.1:0".parse().expect("the address is not valid");
    let platform = Platform::start(any)
        .await
        .expect("the platform failed to start");
    platform.set_faults(Faults {
        lose_replies_percent,
        ..Faults::default()
    });
    let table = Table::new(&platform.url(), CALL_TIMEOUT, None);
    (platform, table)
}

#[test_case(0; "no loss")]
#[test_case(60; "most are lost")]
#[test_case(100; "all are lost")]
#[tokio::test]
async fn a_write_takes_effect_once(lose_replies_percent: u32) {
    let (platform, table) = start(lose_replies_percent).await;
    for n in 0..10u64 {
        let commit = Commit::new(format!("op-{n}")).write("row", Version(n), json!(n));
        let outcome = table.commit_until_known(&commit, COMMIT_TIMEOUT).await;
        assert_eq!(
            outcome.expect("the outcome is unknown"),
            CommitOutcome::Applied
        );
        assert_eq!(platform.row("row").version, Version(n + 1));
    }
    assert_eq!(platform.stats().commits, 10);
}

#[tokio::test]
async fn exactly_one_of_racing_writers_wins_when_replies_are_lost() {
    let (platform, table) = start(50).await;
    for version in 0..5u64 {
        let mut writers = JoinSet::new();
        for n in 0..6 {
            let table = table.clone();
            let commit =
                Commit::new(format!("op-{version}-{n}")).write("row", Version(version), json!(n));
            writers.spawn(async move { table.commit_until_known(&commit, COMMIT_TIMEOUT).await });
        }
        let outcomes = writers.join_all().await;
        let applied = outcomes
            .iter()
            .filter(|o| matches!(o, Ok(CommitOutcome::Applied)));
        assert_eq!(applied.count(), 1, "{outcomes:?}");
        assert_eq!(platform.row("row").version, Version(version + 1));
    }
}

#[tokio::test]
async fn a_write_to_a_table_that_is_down_is_reported_unwritten() {
    let (platform, table) = start(0).await;
    platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let commit = Commit::new("op").write("row", Version(0), json!(1));
    let error = table
        .commit_until_known(&commit, CALL_TIMEOUT)
        .await
        .expect_err("the write succeeded although the table is down");
    assert!(error.is_unwritten(), "{error}");
    assert_eq!(platform.row("row").version, Version(0));
}

#[test_case(0; "no loss")]
#[test_case(50; "half are lost")]
#[tokio::test]
async fn grouped_writes_share_transactions_and_get_separate_outcomes(lose_replies_percent: u32) {
    let (platform, table) = start(lose_replies_percent).await;
    let writer = GroupWriter::start(table);
    let mut writes = JoinSet::new();
    for n in 0..200u32 {
        let writer = writer.clone();
        // Each of a hundred rows gets two writes, of which one must get a conflict.
        let write = Write {
            key: format!("row-{}", n % 100),
            version: Version(0),
            value: json!(n),
        };
        writes.spawn(async move { writer.write(write).await });
    }
    let outcomes = writes.join_all().await;
    let count = |outcome| outcomes.iter().filter(|o| **o == outcome).count();
    assert_eq!(
        (count(WriteOutcome::Applied), count(WriteOutcome::Conflict)),
        (100, 100)
    );
    assert_eq!(platform.rows("row-").len(), 100);
    let commits = platform.stats().commits;
    assert!(commits <= 20, "{commits} transactions for 100 rows");
}
