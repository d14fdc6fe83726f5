//! The capacity of the upstreams of a service.

use jd_serving::service_slots;
use test_case::test_case;

/// Guards against one odd entry that sets the capacity of a whole service.
#[test_case(&[], 1; "no upstream")]
#[test_case(&[64], 64; "one")]
#[test_case(&[64, 64, 64], 64; "alike")]
#[test_case(&[64, u32::MAX], 64; "an odd one beside one")]
#[test_case(&[u32::MAX, 64, 64, 64, u32::MAX], 64; "two odd ones beside three")]
#[test_case(&[1, 64, 64], 64; "a small one")]
#[test_case(&[32, 64, 64, 32], 32; "two sizes")]
fn a_minority_does_not_set_the_slots(entries: &[u32], expected: u32) {
    assert_eq!(service_slots(entries.iter().copied()), expected);
}
