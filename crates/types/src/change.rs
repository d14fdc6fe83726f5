//! Changes that operators make to the configuration.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Customer;
use crate::Name;
use crate::Pipeline;
use crate::Pool;
use crate::Priority;

/// The kind of object that a change modifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ObjectKind {
    /// A pipeline.
    Pipeline,
    /// A customer.
    Customer,
    /// A pool.
    Pool,
    /// A model.
    Model,
}

impl ObjectKind {
    /// The keyword in the operators' command language.
    pub const fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Pipeline => "pipeline",
            ObjectKind::Customer => "customer",
            ObjectKind::Pool => "pool",
            ObjectKind::Model => "model",
        }
    }
}

/// The one object that a change modifies. Two changes to the same object conflict.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectRef {
    /// The object's kind.
    pub kind: ObjectKind,
    /// The object's name.
    pub name: Name,
}

impl fmt::Display for ObjectRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.as_str(), self.name)
    }
}

/// One change to the configuration. It is either applied completely or rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "kebab-case")]
pub enum Change {
    /// Creates a pipeline; rejected if the name is taken.
    CreatePipeline {
        /// The new name.
        name: Name,
        /// The pipeline's definition.
        spec: Pipeline,
    },
    /// Sets a pipeline's deadline.
    SetDeadline {
        /// The pipeline.
        name: Name,
        /// The new deadline in milliseconds.
        deadline_ms: u32,
    },
    /// Removes a pipeline.
    DropPipeline {
        /// The pipeline.
        name: Name,
    },
    /// Creates a customer; rejected if the name is taken.
    CreateCustomer {
        /// The new name.
        name: Name,
        /// The customer's definition.
        spec: Customer,
    },
    /// Sets a customer's limit on requests in flight.
    SetLimit {
        /// The customer.
        name: Name,
        /// The new limit.
        limit: u32,
    },
    /// Sets a customer's weight.
    SetWeight {
        /// The customer.
        name: Name,
        /// The new weight.
        weight: u32,
    },
    /// Sets the most urgent priority that a customer may use.
    SetPriority {
        /// The customer.
        name: Name,
        /// The new priority.
        priority: Priority,
    },
    /// Removes a customer.
    DropCustomer {
        /// The customer.
        name: Name,
    },
    /// Creates a pool; rejected if the name is taken.
    CreatePool {
        /// The new name.
        name: Name,
        /// The pool's definition.
        spec: Pool,
    },
    /// Sets the number of slots of each upstream in a pool.
    SetSlots {
        /// The pool.
        name: Name,
        /// The new number of slots.
        slots: u32,
    },
    /// Removes a pool that no pipeline uses.
    DropPool {
        /// The pool.
        name: Name,
    },
    /// Sets the version that a model's engines should serve.
    SetVersion {
        /// The model.
        name: Name,
        /// The new version.
        version: u32,
    },
}

impl Change {
    /// The object that the change modifies.
    pub fn object(&self) -> ObjectRef {
        let (kind, name) = match self {
            Change::CreatePipeline { name, .. }
            | Change::SetDeadline { name, .. }
            | Change::DropPipeline { name } => (ObjectKind::Pipeline, name),
            Change::CreateCustomer { name, .. }
            | Change::SetLimit { name, .. }
            | Change::SetWeight { name, .. }
            | Change::SetPriority { name, .. }
            | Change::DropCustomer { name } => (ObjectKind::Customer, name),
            Change::CreatePool { name, .. }
            | Change::SetSlots { name, .. }
            | Change::DropPool { name } => (ObjectKind::Pool, name),
            Change::SetVersion { name, .. } => (ObjectKind::Model, name),
        };
        ObjectRef {
            kind,
            name: name.clone(),
        }
    }
}
