//! Tests that heartbeats of this version and of earlier ones are decoded.

use {
    marigoldbend_core::sched::admission::{
        Forecast, Outlook, REQUEST_BOUNDS, WORK_LEVELS, WaitsByPriority,
    },
    marigoldbend_peer::heartbeat::{
        Heartbeat, LedShard, MAX_BYTES, MAX_QUEUES, Omissions, ShardOutlook,
    },
    std::{collections::BTreeSet, time::Duration},
    test_case::test_case,
};

/// A time that is encoded in one byte, after the byte that says that there is one.
const STORE_AGE: Duration = Duration::from_millis(20);

fn heartbeat(cpu_share: u32, store_age: Option<Duration>) -> Heartbeat {
    Heartbeat {
        name: "a1".to_owned(),
        domain: "z1".to_owned(),
        incarnation: 7,
        address: "127.0.0.1:7003".parse().expect("a valid address"),
        config_version: 3,
        store_reachable: true,
        shutting_down: false,
        taking_over: vec!["all".to_owned()],
        led_shards: vec![LedShard {
            shard: "all".to_owned(),
            token: 2,
            lease_version: 9,
            loads: vec![("s".to_owned(), 1, 2)],
            pending: vec![("q".to_owned(), 4)],
        }],
        cpu_share,
        store_age,
        newest_tokens: Vec::new(),
        waits_for_loans: false,
        outlooks: Vec::new(),
        omissions: Omissions::default(),
    }
}

#[test_case(Some(STORE_AGE); "a sender that the store has served")]
#[test_case(Some(Duration::from_secs(90)); "a sender that the store served long ago")]
#[test_case(None; "a sender that the store has not served")]
fn heartbeat_is_decoded(store_age: Option<Duration>) {
    let sent = Heartbeat {
        newest_tokens: vec![("all".to_owned(), 3)],
        waits_for_loans: true,
        ..heartbeat(69, store_age)
    };
    let buf = sent.encode().expect("a short heartbeat");
    assert_eq!(Heartbeat::decode(&buf), Ok(sent));
}

#[test_case(1, Heartbeat { waits_for_loans: true, ..heartbeat(69, Some(STORE_AGE)) }; "without outlooks")]
#[test_case(2, heartbeat(69, Some(STORE_AGE)); "without the wait for loans")]
#[test_case(3, heartbeat(69, Some(STORE_AGE)); "without the newest tokens")]
#[test_case(5, heartbeat(69, None); "without the age of the newest call")]
#[test_case(6, heartbeat(0, None); "without the processor share")]
fn heartbeat_of_an_earlier_version_is_decoded(missing_bytes: usize, expected: Heartbeat) {
    let sent = Heartbeat {
        waits_for_loans: true,
        ..heartbeat(69, Some(STORE_AGE))
    };
    let buf = sent.encode();
    let buf = buf.expect("a short heartbeat");
    let decoded = Heartbeat::decode(&buf[..buf.len() - missing_bytes]);
    assert_eq!(decoded, Ok(expected));
}

/// Returns the longest outlooks of some services: every class of requests has other waits.
fn outlooks(services: usize) -> Vec<ShardOutlook> {
    let waits = |priority| {
        let wait = |class, level| (class * WORK_LEVELS + level) as u8;
        let by_class: Vec<[u8; WORK_LEVELS]> = (0..REQUEST_BOUNDS.len())
            .map(|class| std::array::from_fn(|level| wait(class, level)))
            .collect();
        WaitsByPriority::new(priority, 1_000_000, u16::MAX, &by_class)
    };
    let forecast = || Forecast {
        capacity: 30_000,
        rate: 20_000,
        speed_percent: 250,
        waits: vec![waits(0), waits(2)],
        piece_waits: vec![120, 60],
    };
    let outlook = |i| Outlook {
        service: format!("service-{i}"),
        short: forecast(),
        best_effort: forecast(),
    };
    vec![ShardOutlook {
        shard: "all".to_owned(),
        age_ms: 180,
        services: (0..services).map(outlook).collect(),
    }]
}

/// An instance of an earlier version ignores what follows the parts that it knows.
#[test]
fn outlooks_follow_what_earlier_versions_decode() {
    let without = heartbeat(69, Some(STORE_AGE));
    let with = Heartbeat {
        outlooks: outlooks(1),
        ..without.clone()
    };
    let without = without.encode().expect("a short heartbeat");
    let buf = with.encode().expect("a short heartbeat");
    assert!(buf.starts_with(&without[..without.len() - 1]));
    assert_eq!(Heartbeat::decode(&buf), Ok(with));
}

/// Guards against a leader that is silent because its outlooks are too long.
#[test_case(0, 1, 0; "few queues and one service")]
#[test_case(MAX_QUEUES, 1, 1; "many queues and one service")]
#[test_case(MAX_QUEUES, 4, 4; "many queues and several services")]
#[test_case(4, 4, 3; "few queues and several services")]
fn outlooks_that_are_too_long_are_left_out(queues: usize, services: usize, left_out: usize) {
    let mut sent = Heartbeat {
        outlooks: outlooks(services),
        ..heartbeat(69, Some(STORE_AGE))
    };
    let queue = |i| (format!("customer-queue-{i:02}"), 100);
    sent.led_shards[0].pending = (0..queues).map(queue).collect();
    let expected = services - left_out;
    assert_eq!(sent.leave_out_outlooks(), left_out);
    let buf = sent.encode().expect("a short heartbeat");
    assert!(buf.len() <= MAX_BYTES);
    let decoded = Heartbeat::decode(&buf).expect("a heartbeat");
    let services = decoded.outlooks.iter().map(|o| o.services.len());
    assert_eq!(services.sum::<usize>(), expected);
}

/// Returns `count` names of `len` characters.
fn names(kind: &str, count: usize, len: usize) -> impl Iterator<Item = String> {
    (0..count).map(move |i| format!("{kind}-{i:0width$}", width = len - kind.len() - 1))
}

/// A leader with many or long names to tell sent no heartbeats, so others took over each second.
#[test_case(1, 40, 39, 1, 6; "the names of review 13")]
#[test_case(1, 350, 200, 46, 200; "the longest names of many queues and services")]
#[test_case(1, 46, 12, 46, 40; "short names of queues and long ones of services")]
#[test_case(25, 40, 39, 46, 39; "all shards of the target")]
#[test_case(25, 4, 8, 1, 200; "long names of shards")]
fn a_leader_with_long_names_is_heard(
    shards: usize,
    queues: usize,
    queue_len: usize,
    services: usize,
    len: usize,
) {
    let led_shards = names("shard", shards, len.max(9)).map(|shard| LedShard {
        shard,
        token: u64::MAX,
        lease_version: u64::MAX,
        loads: names("srv", services, len.max(6))
            .map(|name| (name, 1_000, 1_000))
            .collect(),
        pending: names("q", queues, queue_len)
            .map(|name| (name, u32::MAX))
            .collect(),
    });
    let sent = Heartbeat {
        name: "n".repeat(200),
        domain: "d".repeat(200),
        led_shards: led_shards.collect(),
        taking_over: names("other", 3, len.max(9)).collect(),
        newest_tokens: names("shard", shards, len.max(9))
            .map(|name| (name, u64::MAX))
            .collect(),
        outlooks: outlooks(services),
        ..heartbeat(69, Some(STORE_AGE))
    };
    let mut told = Vec::new();
    let mut loads = BTreeSet::new();
    for round in 0..services {
        told.clear();
        for (i, mut part) in sent.clone().into_parts(round).into_iter().enumerate() {
            part.leave_out_outlooks();
            let buf = part.encode().expect("a heartbeat that fits");
            let part = Heartbeat::decode(&buf).expect("a heartbeat");
            assert_eq!(part.omissions.continues, i > 0);
            assert_eq!(
                (&part.name, part.incarnation),
                (&sent.name, sent.incarnation)
            );
            let pending: usize = part.led_shards.iter().map(|l| l.pending.len()).sum();
            let all = queues * part.led_shards.len();
            assert!(pending == all || part.may_omit_pending());
            for led_shard in &part.led_shards {
                let is_complete = led_shard.loads.len() == services;
                assert!(is_complete || part.omissions.loads);
                let names = led_shard.loads.iter().map(|(name, ..)| name.clone());
                loads.extend(names.map(|name| (led_shard.shard.clone(), name)));
            }
            told.push(part);
        }
    }
    let shard_of = |l: &LedShard| (l.shard.clone(), l.token, l.lease_version);
    let led: Vec<_> = told
        .iter()
        .flat_map(|p| p.led_shards.iter().map(shard_of))
        .collect();
    let expected: Vec<_> = sent.led_shards.iter().map(shard_of).collect();
    assert_eq!(led, expected);
    let tokens: Vec<_> = told.iter().flat_map(|p| p.newest_tokens.clone()).collect();
    assert_eq!(tokens, sent.newest_tokens);
    let taking_over: Vec<_> = told.iter().flat_map(|p| p.taking_over.clone()).collect();
    assert_eq!(taking_over, sent.taking_over);
    assert!(
        shards > 1 || loads.len() == services,
        "the loads of all services are told in turn: {}",
        loads.len()
    );
}

/// An instance of an earlier version ignores what follows the parts that it knows.
#[test]
fn omissions_follow_what_earlier_versions_decode() {
    let without = heartbeat(69, Some(STORE_AGE));
    let omissions = Omissions {
        pending: true,
        ..Omissions::default()
    };
    let with = Heartbeat {
        omissions,
        ..without.clone()
    };
    let without = without.encode().expect("a short heartbeat");
    let buf = with.encode().expect("a short heartbeat");
    assert!(buf.starts_with(&without));
    assert_eq!(Heartbeat::decode(&buf), Ok(with));
}

/// A sender of an earlier version does not say that it left queues out, which were taken for empty.
#[test_case(MAX_QUEUES - 1, false; "few queues")]
#[test_case(MAX_QUEUES, true; "as many as it tells")]
fn queues_that_an_earlier_version_left_out_are_not_taken_for_empty(queues: usize, omits: bool) {
    let mut sent = heartbeat(69, Some(STORE_AGE));
    sent.led_shards[0].pending = names("q", queues, 8).map(|name| (name, 1)).collect();
    assert_eq!(sent.may_omit_pending(), omits);
}
