//! The configuration and its log.

use compact_str::CompactString;
use jd_coord::ConfigReplica;
use jd_types::Change;
use jd_types::ChangeId;
use jd_types::ChangeRecord;
use jd_types::CompiledConfig;
use jd_types::Config;
use jd_types::CredentialDigest;
use jd_types::Customer;
use jd_types::Name;
use jd_types::Priority;
use jd_types::WallTime;

use crate::slopes::Meter;
use crate::slopes::Slope;

/// Numbers of customers.
const CUSTOMERS: [usize; 4] = [5, 100, 400, 1_200];

pub(super) fn measure(meter: &Meter<'_>) -> Vec<Slope> {
    vec![
        meter.time(
            "config: apply one record",
            "customers",
            &CUSTOMERS,
            replica,
            |r, n| {
                let record = record(r.config(), n);
                r.learn(record)
            },
        ),
        meter.time(
            "config: lay out for requests",
            "customers",
            &CUSTOMERS,
            config,
            |c, _| CompiledConfig::from(&*c),
        ),
        meter.time(
            "config: authenticate one request",
            "customers",
            &CUSTOMERS,
            compiled,
            |c, _| c.authenticate("secret-of-customer-3"),
        ),
        meter.memory("config: replica, laid out", "customers", &CUSTOMERS, |n| {
            (replica(n), compiled(n))
        }),
        meter.message("config: snapshot", "customers", &CUSTOMERS, |n| {
            serde_json::to_string(&config(n)).map_or(0, |s| s.len())
        }),
        meter.message("config: one record", "customers", &CUSTOMERS, |n| {
            serde_json::to_string(&record(&config(n), 1)).map_or(0, |s| s.len())
        }),
    ]
}

fn config(customers: usize) -> Config {
    let mut config = Config::default();
    for i in 0..customers {
        let change = Change::CreateCustomer {
            name: name(i),
            spec: Customer {
                credential: CredentialDigest::of(&format!("secret-of-customer-{i}")),
                limit: 400,
                weight: 1,
                priority: Priority::Normal,
            },
        };
        // Every name is new, so every change applies.
        let _ = config.apply(&change);
    }
    config
}

fn compiled(customers: usize) -> CompiledConfig {
    CompiledConfig::from(&config(customers))
}

fn replica(customers: usize) -> ConfigReplica {
    let mut replica = ConfigReplica::default();
    replica.learn_snapshot(config(customers));
    replica
}

fn record(config: &Config, n: u64) -> ChangeRecord {
    let change = Change::SetWeight {
        name: name(3),
        weight: (n % 100) as u32 + 1,
    };
    let object = change.object();
    ChangeRecord {
        revision: config.revision.next(),
        id: ChangeId::new(n),
        who: CompactString::const_new("alice"),
        when: WallTime::from_millis(n),
        why: CompactString::const_new("a busy weekend is coming"),
        from: config.show(&object),
        to: config.show(&object),
        change,
    }
}

fn name(i: usize) -> Name {
    let text = format!("customer-{i}");
    Name::try_from(text.as_str()).unwrap_or_else(|_| name(0))
}
