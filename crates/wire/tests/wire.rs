//! Messages from other instances are read whole or refused.

#![allow(clippy::unwrap_used)]

use jd_wire::Exchange;
use jd_wire::ExchangeAnswer;
use jd_wire::ExchangeReply;
use jd_wire::ExchangeRequest;
use proptest::prelude::ProptestConfig;
use proptest::prelude::prop;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use prost::Message;

fn member() -> jd_coord::Member {
    jd_coord::Member {
        incarnation: jd_types::Incarnation::new(7),
        hall: jd_types::Name::try_from("a").unwrap(),
        callers: ([127, 0, 0, 1], 1).into(),
        peers: ([127, 0, 0, 1], 2).into(),
        state: jd_types::MemberState::Serving,
        beat: 3,
        revision: jd_types::Revision::new(4),
        in_flight: 5,
        epoch: 6,
    }
}

fn question() -> Exchange {
    Exchange {
        from: member(),
        sequence: 9,
        pulses: vec![member().pulse()],
        strangers: vec![jd_types::Incarnation::new(8)],
        hints: vec![jd_wire::Hint {
            address: ([127, 0, 0, 1], 3).into(),
            leaving: true,
            in_flight: 2,
        }],
        asks: vec![jd_coord::LoanAsk {
            limit: "customer/ranges".into(),
            held: jd_types::Ppm::new(10),
            wanted: jd_types::Ppm::new(20),
        }],
    }
}

#[test]
fn a_question_comes_back_as_it_was() {
    let bytes = ExchangeRequest::from(&question()).encode_to_vec();
    let read = Exchange::try_from(ExchangeRequest::decode(bytes.as_slice()).unwrap()).unwrap();
    assert_eq!(read, question());
}

// A peer of another release asks for more than the whole of a limit; cut down
// in silence, its idea and ours of what is lent would differ.
#[test]
fn a_part_above_the_whole_is_refused() {
    let mut message = ExchangeRequest::from(&question());
    message.asks[0].wanted_ppm = 1_000_001;
    let e = Exchange::try_from(message).unwrap_err();
    assert!(e.to_string().contains("`ppm` is not valid"), "{e}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Bytes from anywhere are read or refused, never a crash.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(prop::num::u8::ANY, 0..200)) {
        if let Ok(message) = ExchangeRequest::decode(bytes.as_slice()) {
            drop(Exchange::try_from(message));
        }
        if let Ok(message) = ExchangeReply::decode(bytes.as_slice()) {
            drop(ExchangeAnswer::try_from(message));
        }
    }

    // One byte of a good message is changed on the way.
    #[test]
    fn a_damaged_question_is_read_or_refused(at in 0..1_000usize, with in prop::num::u8::ANY) {
        let mut bytes = ExchangeRequest::from(&question()).encode_to_vec();
        let at = at % bytes.len();
        bytes[at] = with;
        if let Ok(message) = ExchangeRequest::decode(bytes.as_slice()) {
            drop(Exchange::try_from(message));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// What is packed comes out as it went in; anything else is refused, and nothing
    /// panics or takes memory without bound.
    #[test]
    fn records_are_packed_and_unpacked(values: Vec<Vec<u8>>, cut in 0_usize..64) {
        let records = values.iter().enumerate().map(|(n, value)| jd_wire::StoreItem {
            key: format!("record/{n}"),
            value: value.clone(),
            revision: n as u64,
            era: 0,
            removed: false,
        });
        let records: Vec<jd_wire::StoreItem> = records.collect();
        let packed = jd_wire::pack(records.clone()).unwrap();
        assert_eq!(jd_wire::unpack(&packed).unwrap(), records);
        let part = &packed[..cut.min(packed.len() - 1)];
        assert!(jd_wire::unpack(part).is_err() || records.is_empty());
    }

    #[test]
    fn any_bytes_are_unpacked_without_harm(bytes: Vec<u8>) {
        let _any = jd_wire::unpack(&bytes);
    }
}
