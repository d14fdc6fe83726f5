//! Packed records that are told in parts.

#![allow(clippy::panic)]

use bytes::Bytes;
use jd_wire::FollowReply;
use jd_wire::FollowRequest;
use jd_wire::MOST_PACKED;
use jd_wire::PART_BYTES;
use jd_wire::PackedParts;
use jd_wire::PartsTaken;
use jd_wire::put_part;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;
use test_case::test_case;

fn piece(size: usize) -> Bytes {
    let bytes = (0..size).map(|n| (n % 251) as u8);
    bytes.collect()
}

fn question() -> FollowRequest {
    FollowRequest {
        takes_parts: true,
        ..FollowRequest::default()
    }
}

/// An answer of an instance whose latest piece is of this revision.
fn answer(asked: &FollowRequest, packed: &Bytes, revision: u64) -> FollowReply {
    let mut reply = FollowReply {
        packed_revision: revision,
        ..FollowReply::default()
    };
    put_part(&mut reply, packed, asked);
    reply
}

/// Guards against a relay that holds a copy of all records for each instance that starts:
/// what an answer holds does not grow with the records.
#[test_case(1)]
#[test_case(PART_BYTES)]
#[test_case(PART_BYTES + 1)]
#[test_case(1 << 20)]
#[test_case(4 << 20)]
fn a_part_is_bounded_whatever_the_size_of_all(size: usize) {
    let packed = piece(size);
    let mut parts = PackedParts::default();
    let mut asked = question();
    let mut answers = 0;
    let whole = loop {
        let reply = answer(&asked, &packed, 7);
        assert!(reply.packed.len() <= PART_BYTES);
        answers += 1;
        match parts.take(&asked, reply) {
            PartsTaken::Whole(reply) => break reply,
            PartsTaken::Asks(next) => asked = next,
            PartsTaken::Refused => panic!("refused"),
        }
    };
    assert_eq!(whole.packed, packed);
    assert_eq!(answers, size.div_ceil(PART_BYTES));
}

/// Guards against a piece that is put together from two readings.
#[test]
fn parts_of_a_piece_that_was_packed_anew_are_not_mixed() {
    let (before, after) = (piece(200_000), piece(150_000).slice(1..));
    let mut parts = PackedParts::default();
    let first = parts.take(&question(), answer(&question(), &before, 7));
    let PartsTaken::Asks(mut asked) = first else {
        panic!("one part was all");
    };
    let whole = loop {
        match parts.take(&asked, answer(&asked, &after, 8)) {
            PartsTaken::Whole(reply) => break reply,
            PartsTaken::Asks(next) => asked = next,
            PartsTaken::Refused => panic!("refused"),
        }
    };
    assert_eq!(whole.packed, after);
}

/// An instance of the version before asks for no parts, and tells none.
#[test]
fn an_instance_of_the_version_before_is_told_all_at_once_and_understood() {
    let packed = piece(200_000);
    let asked = FollowRequest::default();
    let reply = answer(&asked, &packed, 7);
    assert_eq!(reply.packed, packed);
    let earlier = FollowReply {
        packed: packed.to_vec(),
        packed_revision: 7,
        ..FollowReply::default()
    };
    let taken = PackedParts::default().take(&question(), earlier.clone());
    assert_eq!(taken, PartsTaken::Whole(Box::new(earlier)));
}

proptest! {
    /// Guards against a peer that tells nonsense: it is asked on, or refused, and what is
    /// kept of it is bounded.
    #[test]
    fn nonsense_is_bounded(
        answers in prop::collection::vec(
            (0..3_u64, any::<u32>(), any::<u32>(), 0..300_usize), 1..40)
    ) {
        let mut parts = PackedParts::default();
        let mut asked = question();
        for (revision, packed_from, packed_size, size) in answers {
            let reply = FollowReply {
                packed: vec![0; size],
                packed_revision: revision,
                packed_from: packed_from % 512,
                packed_size,
                ..FollowReply::default()
            };
            match parts.take(&asked, reply) {
                PartsTaken::Asks(next) => asked = next,
                PartsTaken::Refused => {
                    prop_assert!(packed_size as usize > MOST_PACKED || size == 0);
                }
                PartsTaken::Whole(_) => {}
            }
            prop_assert!(asked.has_bytes as usize <= 300 * 40);
        }
    }
}
