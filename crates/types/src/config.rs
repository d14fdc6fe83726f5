//! The configuration, and the validation and application of changes to it.

use std::collections::BTreeMap;
use std::fmt;

use compact_str::CompactString;
use compact_str::ToCompactString;
use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;
use snafu::ensure;

use crate::Change;
use crate::ChangeError;
use crate::ChangeRecord;
use crate::Customer;
use crate::Model;
use crate::Name;
use crate::ObjectKind;
use crate::ObjectRef;
use crate::Pipeline;
use crate::Pool;
use crate::change_error::BoundsSnafu;
use crate::change_error::CredentialTakenSnafu;
use crate::change_error::DeferredOnceSnafu;
use crate::change_error::ExistsSnafu;
use crate::change_error::InUseSnafu;
use crate::change_error::MissingSnafu;
use crate::change_error::NoEffectSnafu;

/// The number of changes applied to the configuration. Never decreases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision(u64);

impl Revision {
    /// The revision of the empty configuration.
    pub const ZERO: Revision = Revision(0);

    /// The revision with the given number.
    pub const fn new(number: u64) -> Revision {
        Revision(number)
    }

    /// The revision's number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The revision after this one.
    pub const fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The configuration that operators maintain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The number of changes applied.
    pub revision: Revision,
    /// Pipelines by name.
    pub pipelines: BTreeMap<Name, Pipeline>,
    /// Customers by name.
    pub customers: BTreeMap<Name, Customer>,
    /// Pools by name.
    pub pools: BTreeMap<Name, Pool>,
    /// Models by name.
    pub models: BTreeMap<Name, Model>,
}

impl Config {
    /// Validates and applies `change` and increments the revision. On error the
    /// configuration is left unchanged.
    pub fn apply(&mut self, change: &Change) -> Result<(), ChangeError> {
        self.validate(change)?;
        self.apply_unchecked(change);
        self.revision = self.revision.next();
        Ok(())
    }

    /// Applies a record from the log if its revision directly follows the current
    /// one, and returns whether it did.
    ///
    /// The change was validated before its record was written to the log. It is not
    /// validated again here, because an instance with different bounds would reject
    /// it and diverge from the others.
    pub fn apply_record(&mut self, record: &ChangeRecord) -> bool {
        let next = record.revision == self.revision.next();
        if next {
            self.apply_unchecked(&record.change);
            self.revision = record.revision;
        }
        next
    }

    /// The value of `object` in the form shown to operators; `-` if the object does
    /// not exist.
    pub fn show(&self, object: &ObjectRef) -> CompactString {
        let name = &object.name;
        let shown = match object.kind {
            ObjectKind::Pipeline => self.pipelines.get(name).map(|p| p.to_compact_string()),
            ObjectKind::Customer => self.customers.get(name).map(|c| c.to_compact_string()),
            ObjectKind::Pool => self.pools.get(name).map(|p| p.to_compact_string()),
            ObjectKind::Model => self
                .models
                .get(name)
                .map(|m| compact_str::format_compact!("version {}", m.version)),
        };
        shown.unwrap_or_else(|| CompactString::const_new("-"))
    }

    fn validate(&self, change: &Change) -> Result<(), ChangeError> {
        let object = change.object();
        match change {
            Change::CreatePipeline { name, spec } => {
                ensure!(!self.pipelines.contains_key(name), ExistsSnafu { object });
                self.check_pipeline(&object, spec)
            }
            Change::SetDeadline { name, deadline_ms } => {
                let old = self.pipelines.get(name).context(MissingSnafu {
                    object: object.clone(),
                })?;
                ensure!(old.deadline_ms != *deadline_ms, NoEffectSnafu { object });
                check_bounds(
                    &object,
                    "deadline in ms",
                    *deadline_ms,
                    &Pipeline::DEADLINE_MS,
                )
            }
            Change::DropPipeline { name } => {
                ensure!(self.pipelines.contains_key(name), MissingSnafu { object });
                Ok(())
            }
            Change::CreateCustomer { name, spec } => {
                ensure!(!self.customers.contains_key(name), ExistsSnafu { object });
                self.check_customer(&object, spec)
            }
            Change::SetLimit { name, limit } => {
                let old = self.customers.get(name).context(MissingSnafu {
                    object: object.clone(),
                })?;
                ensure!(old.limit != *limit, NoEffectSnafu { object });
                check_bounds(&object, "limit", *limit, &Customer::LIMIT)
            }
            Change::SetWeight { name, weight } => {
                let old = self.customers.get(name).context(MissingSnafu {
                    object: object.clone(),
                })?;
                ensure!(old.weight != *weight, NoEffectSnafu { object });
                check_bounds(&object, "weight", *weight, &Customer::WEIGHT)
            }
            Change::SetPriority { name, priority } => {
                let old = self.customers.get(name).context(MissingSnafu {
                    object: object.clone(),
                })?;
                ensure!(old.priority != *priority, NoEffectSnafu { object });
                Ok(())
            }
            Change::DropCustomer { name } => {
                ensure!(self.customers.contains_key(name), MissingSnafu { object });
                Ok(())
            }
            Change::CreatePool { name, spec } => {
                ensure!(!self.pools.contains_key(name), ExistsSnafu { object });
                check_bounds(&object, "slots", spec.slots, &Pool::SLOTS)
            }
            Change::SetSlots { name, slots } => {
                let old = self.pools.get(name).context(MissingSnafu {
                    object: object.clone(),
                })?;
                ensure!(old.slots != *slots, NoEffectSnafu { object });
                check_bounds(&object, "slots", *slots, &Pool::SLOTS)
            }
            Change::DropPool { name } => {
                ensure!(self.pools.contains_key(name), MissingSnafu { object });
                self.check_unused(&object)
            }
            Change::SetVersion { name, version } => {
                let old = self.models.get(name).map(|m| m.version);
                ensure!(old != Some(*version), NoEffectSnafu { object });
                Ok(())
            }
        }
    }

    fn check_pipeline(&self, object: &ObjectRef, spec: &Pipeline) -> Result<(), ChangeError> {
        check_bounds(
            object,
            "deadline in ms",
            spec.deadline_ms,
            &Pipeline::DEADLINE_MS,
        )?;
        let count = u32::try_from(spec.stages.len()).unwrap_or(u32::MAX);
        check_bounds(
            object,
            "number of stages",
            count,
            &(1..=Pipeline::MAX_STAGES as u32),
        )?;
        let repeatable = !spec.deferrable || !spec.needs_key();
        ensure!(
            repeatable,
            DeferredOnceSnafu {
                object: object.clone()
            }
        );
        for stage in &spec.stages {
            let pool = ObjectRef {
                kind: ObjectKind::Pool,
                name: stage.pool.clone(),
            };
            ensure!(
                self.pools.contains_key(&stage.pool),
                MissingSnafu { object: pool }
            );
        }
        Ok(())
    }

    fn check_customer(&self, object: &ObjectRef, spec: &Customer) -> Result<(), ChangeError> {
        check_bounds(object, "limit", spec.limit, &Customer::LIMIT)?;
        check_bounds(object, "weight", spec.weight, &Customer::WEIGHT)?;
        let holder = self
            .customers
            .iter()
            .find(|(_, c)| c.credential == spec.credential);
        match holder {
            Some((name, _)) => {
                let user = ObjectRef {
                    kind: ObjectKind::Customer,
                    name: name.clone(),
                };
                CredentialTakenSnafu {
                    object: object.clone(),
                    user,
                }
                .fail()
            }
            None => Ok(()),
        }
    }

    fn check_unused(&self, object: &ObjectRef) -> Result<(), ChangeError> {
        let uses = |p: &Pipeline| p.stages.iter().any(|s| s.pool == object.name);
        match self.pipelines.iter().find(|(_, p)| uses(p)) {
            Some((name, _)) => {
                let user = ObjectRef {
                    kind: ObjectKind::Pipeline,
                    name: name.clone(),
                };
                InUseSnafu {
                    object: object.clone(),
                    user,
                }
                .fail()
            }
            None => Ok(()),
        }
    }

    fn apply_unchecked(&mut self, change: &Change) {
        match change.clone() {
            Change::CreatePipeline { name, spec } => {
                self.pipelines.insert(name, spec);
            }
            Change::SetDeadline { name, deadline_ms } => {
                self.pipelines
                    .entry(name)
                    .and_modify(|p| p.deadline_ms = deadline_ms);
            }
            Change::DropPipeline { name } => {
                self.pipelines.remove(&name);
            }
            Change::CreateCustomer { name, spec } => {
                self.customers.insert(name, spec);
            }
            Change::SetLimit { name, limit } => {
                self.customers.entry(name).and_modify(|c| c.limit = limit);
            }
            Change::SetWeight { name, weight } => {
                self.customers.entry(name).and_modify(|c| c.weight = weight);
            }
            Change::SetPriority { name, priority } => {
                self.customers
                    .entry(name)
                    .and_modify(|c| c.priority = priority);
            }
            Change::DropCustomer { name } => {
                self.customers.remove(&name);
            }
            Change::CreatePool { name, spec } => {
                self.pools.insert(name, spec);
            }
            Change::SetSlots { name, slots } => {
                self.pools.entry(name).and_modify(|p| p.slots = slots);
            }
            Change::DropPool { name } => {
                self.pools.remove(&name);
            }
            Change::SetVersion { name, version } => {
                self.models.insert(name, Model { version });
            }
        }
    }
}

fn check_bounds(
    object: &ObjectRef,
    what: &'static str,
    value: u32,
    range: &std::ops::RangeInclusive<u32>,
) -> Result<(), ChangeError> {
    let low = u64::from(*range.start());
    let high = u64::from(*range.end());
    let value = u64::from(value);
    let object = object.clone();
    ensure!(
        (low..=high).contains(&value),
        BoundsSnafu {
            object,
            what,
            value,
            low,
            high
        }
    );
    Ok(())
}
