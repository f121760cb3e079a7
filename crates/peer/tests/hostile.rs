//! Decoding of untrusted bytes: damaged messages cause no panic, and valid ones are decoded
//! unchanged.

use {
    marigoldbend_core::ids::{Domain, Incarnation, Version, WorkerId},
    marigoldbend_peer::{
        call::{Call, Field, Frame, Offer, Reply, UpstreamResponse},
        datagram::{Datagram, MAX_BYTES, MAX_LEAVING, Message, Sender},
    },
    proptest::{prelude::*, test_runner::RngSeed},
};

fn cases() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    }
}

/// Returns a valid datagram whose variable parts are the arguments.
fn datagram(name: String, nonce: u64, leaving: Vec<u32>) -> Datagram {
    Datagram {
        sender: Sender {
            incarnation: Incarnation(nonce ^ 9),
            domain: Domain(3),
            name,
            peer_address: "10.1.2.3:700".parse().expect("a valid address"),
        },
        config_version: Version(nonce),
        row_version: Version(7),
        shutting_down: nonce.is_multiple_of(2),
        leaving_workers: leaving.into_iter().map(WorkerId).collect(),
        message: Message::ProbeReply {
            nonce,
            confirms: Some(Version(1)),
        },
    }
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn a_datagram_is_decoded_unchanged(
        name in "[a-z]{0,64}",
        nonce: u64,
        leaving in prop::collection::vec(any::<u32>(), 0..=MAX_LEAVING),
    ) {
        let sent = datagram(name, nonce, leaving);
        let bytes = sent.encode().expect("the datagram is short enough");
        prop_assert!(bytes.len() <= MAX_BYTES);
        prop_assert_eq!(Datagram::decode(&bytes), Ok(sent));
    }

    #[test]
    fn mutated_datagrams_are_rejected_or_within_bounds(
        nonce: u64,
        mutations in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
        length in any::<prop::sample::Index>(),
    ) {
        let mut bytes = datagram("a1".to_owned(), nonce, vec![1, 2])
            .encode()
            .expect("the datagram is short enough");
        for (at, value) in mutations {
            let at = at.index(bytes.len());
            bytes[at] = value;
        }
        bytes.truncate(length.index(bytes.len()) + 1);
        // Decoding fails or returns a datagram within all bounds; it does not panic.
        if let Ok(datagram) = Datagram::decode(&bytes) {
            prop_assert!(datagram.leaving_workers.len() <= MAX_LEAVING);
        }
    }

    #[test]
    fn random_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..1_500)) {
        let mut with_magic = b"mgb1".to_vec();
        with_magic.extend_from_slice(&bytes);
        let _ = Datagram::decode(&bytes);
        let _ = Datagram::decode(&with_magic);
        let _ = Frame::<Call>::decode(&bytes);
        let _ = Frame::<Reply>::decode(&bytes);
    }

    #[test]
    fn a_truncated_frame_is_rejected(
        id: u64,
        body in prop::collection::vec(any::<u8>(), 0..300),
        length in any::<prop::sample::Index>(),
    ) {
        let response = UpstreamResponse {
            status: 200,
            headers: vec![Field { name: "a".to_owned(), value: "b".into() }],
            body: body.into(),
        };
        let frame = Frame { id, body: Reply::Answered(response) };
        let bytes = frame.encode().expect("the frame is short enough");
        prop_assert_eq!(Frame::decode(&bytes), Ok(frame));
        let length = length.index(bytes.len());
        prop_assert!(Frame::<Reply>::decode(&bytes[..length]).is_err());
    }

    #[test]
    fn an_offer_is_decoded_unchanged(path in "/[a-z?=]{0,40}", remaining_ms: u64) {
        let offer = Offer {
            request_id: "r".to_owned(),
            service: "inspection".to_owned(),
            method: "POST".to_owned(),
            path,
            headers: Vec::new(),
            body: "sent".into(),
            remaining_ms,
        };
        let frame = Frame { id: 1, body: Call::Offer(offer) };
        let bytes = frame.encode().expect("the frame is short enough");
        prop_assert_eq!(Frame::decode(&bytes), Ok(frame));
    }
}
