//! Prints what instances cost while nobody calls, at several sizes.

use std::time::Duration;

fn main() {
    println!("instances  core of one  heartbeat bytes/s of one  kv calls/s  kv writes/s");
    for instances in [3, 9, 18] {
        let measuring = jd_demo::idle_cost(instances, Duration::from_secs(8));
        match async_io::block_on(measuring) {
            Ok(c) => println!(
                "{:>9}  {:>10.2}%  {:>24.0}  {:>10.1}  {:>11.1}",
                c.instances, c.core_percent, c.peer_bytes, c.kv_calls, c.kv_writes
            ),
            Err(e) => println!("{instances}: {e}"),
        }
    }
}
