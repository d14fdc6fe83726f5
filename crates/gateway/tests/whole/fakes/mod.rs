//! Fakes of the store, the dialect and upstreams for tests of whole gateways.

mod deployments;
pub(crate) mod ending_fleet;
mod ending_upstreams;
mod fake_dialect;
mod fake_store;
mod fake_upstream;
mod harness;
pub(crate) mod noticing;
mod start_gateway;

pub(crate) use deployments::cold_deployment;
pub(crate) use deployments::deployment;
pub(crate) use ending_upstreams::EndingUpstreams;
pub(crate) use fake_dialect::FakeDialect;
pub(crate) use fake_store::FakeStore;
pub(crate) use fake_upstream::FakeUpstream;
pub(crate) use fake_upstream::Reply;
pub(crate) use harness::CallerResponse;
pub(crate) use harness::Harness;
