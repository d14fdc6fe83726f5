//! Many gateways at one store.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_gateway::Record;

use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::deployment;

/// Twenty instances that each watch the store are answered twenty times at each
/// change; at seventy-five the store's rate and its price ran out. Two watch and
/// tell the others, and a route that is added reaches all of them all the same.
#[test]
fn a_change_reaches_instances_that_do_not_watch_the_store() {
    let mut harness = Harness::start(vec![vec![Reply::Whole("yours")]]);
    harness.add_gateways(19);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        while harness.store.watches() > 2 {
            Timer::after(Duration::from_millis(5)).await;
        }
        let mut next = deployment();
        next.version = 2;
        next.routes[0].prefix = "/added/".into();
        let next = Record::Deployment(Box::new(next));
        harness.store.change(Change::Put(next));
        harness.until_all_answer("/added/x", 200).await;
        harness.until_all_answer("/any/x", 404).await;
        assert!(harness.store.watches() <= 2);
    });
}
