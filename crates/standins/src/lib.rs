//! Stand-ins for the outside world, which can be told to fail.
//!
//! The state of each is a plain structure without I/O, so that failure tests
//! can step it in virtual time; a thin server puts the same structure behind
//! HTTP for the demo and for daemons started by hand. None of this decides
//! anything for the system. What the stand-ins count, they count themselves:
//! the checks of the demo never ask the system whether it was right.

mod deployment;
mod fake_kv;
mod fake_list;
mod fake_work;
mod platform_server;
mod upstream_faults;
mod upstream_server;
mod upstream_spec;
mod witness;

pub use deployment::Deployment;
pub use deployment::DeploymentPipeline;
pub use deployment::DeploymentPool;
pub use fake_kv::FakeKv;
pub use fake_kv::KvBites;
pub use fake_kv::KvFaults;
pub use fake_list::FakeList;
pub use fake_work::FakeEngine;
pub use fake_work::expected_output;
pub use fake_work::stage_output;
pub use fake_work::stage_parts;
pub use fake_work::stage_units;
pub use platform_server::PlatformServer;
pub use upstream_faults::UpstreamFaults;
pub use upstream_server::UpstreamServer;
pub use upstream_spec::UpstreamSpec;
pub use witness::Witness;
pub use witness::WitnessReport;
