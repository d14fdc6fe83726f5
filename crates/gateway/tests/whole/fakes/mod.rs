//! Fakes of the store, the dialect and upstreams for tests of whole gateways.

mod caller;
pub(crate) mod crash_fleet;
mod crashing_upstreams;
mod deployments;
mod fake_dialect;
mod fake_owner;
mod fake_store;
mod fake_upstream;
mod harness;
mod member;
mod owners;
mod stage_upstream;
mod start_gateway;
mod upstream_link;
pub(crate) mod upstream_notices;

pub(crate) use caller::CallerResponse;
pub(crate) use crashing_upstreams::CrashingUpstreams;
pub(crate) use deployments::chained_deployment;
pub(crate) use deployments::cold_deployment;
pub(crate) use deployments::deployment;
pub(crate) use deployments::entry;
pub(crate) use deployments::fetching_deployment;
pub(crate) use deployments::paced_deployment;
pub(crate) use fake_dialect::FakeDialect;
pub(crate) use fake_owner::FakeOwner;
pub(crate) use fake_store::FakeStore;
pub(crate) use fake_upstream::FakeUpstream;
pub(crate) use fake_upstream::FetchReply;
pub(crate) use fake_upstream::Reply;
pub(crate) use harness::Harness;
pub(crate) use owners::owner_order;
pub(crate) use stage_upstream::StageUpstream;
pub(crate) use upstream_link::Cut;
pub(crate) use upstream_link::UpstreamLink;
