//! The conditions under which an upstream may be selected.

use jd_net::lock;
use jd_serving::ColdSpec;
use jd_serving::InFlightShare;
use jd_serving::SoftwareVersion;
use jd_serving::may_begin_stream;
use jd_types::MonoTime;

use crate::state::State;
use crate::upstream_record::UpstreamRecord;

/// Which rate-limited upstreams may be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitFilter {
    /// All of them.
    Any,
    /// Those for which a permit may be requested now.
    PermitDue,
    /// None of them, so that only upstreams without a limit remain.
    Unlimited,
}

/// Whether upstreams may be selected whose software version the store does not record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UnrecordedFilter {
    /// At once.
    Any,
    /// Once the version has been known for so long that it most likely cannot be recorded.
    AfterPatience,
    /// Never.
    Never,
}

/// The conditions that an upstream has to meet to be selected.
pub(crate) struct SelectionFilter<'a> {
    /// The limit of cold upstreams; none if they have no limit.
    pub(crate) cold: Option<ColdSpec>,
    /// What may be in progress at the upstreams; none if they are not brittle.
    pub(crate) brittle: Option<InFlightShare>,
    /// The only software version that may be selected; none for all of them.
    pub(crate) software: Option<SoftwareVersion>,
    /// Whether upstreams may be selected whose software version the store does not record.
    pub(crate) unrecorded: UnrecordedFilter,
    /// Which rate-limited upstreams may be selected.
    pub(crate) limit_filter: LimitFilter,
    /// The backoffs, rate limits and instances that the conditions depend on.
    pub(crate) state: &'a State,
}

impl SelectionFilter<'_> {
    /// True if this instance may send to the upstream now.
    pub(crate) fn allows(&self, now: MonoTime, id: &str, record: &UpstreamRecord) -> bool {
        self.is_of_version(record)
            && self.unrecorded_allows(now, record)
            && self.not_backing_off(now, id, record)
            && self.has_brittle_share(record)
            && self.limit_allows(now, id)
            && self.cold_allows(now, record)
    }

    /// True if the upstream has the software version that is required, if there is one.
    pub(crate) fn is_of_version(&self, record: &UpstreamRecord) -> bool {
        let required = self.software.as_ref();
        required.is_none_or(|software| *software == record.software)
    }

    fn unrecorded_allows(&self, now: MonoTime, record: &UpstreamRecord) -> bool {
        let since = record.unrecorded_since;
        match self.unrecorded {
            UnrecordedFilter::Any => true,
            UnrecordedFilter::Never => since.is_none(),
            UnrecordedFilter::AfterPatience => {
                let known_for = since.map(|since| now.since(since));
                may_begin_stream(since.is_none(), known_for.unwrap_or_default())
            }
        }
    }

    fn has_brittle_share(&self, record: &UpstreamRecord) -> bool {
        let in_flight = record.upstream.in_flight();
        self.brittle.is_none_or(|share| in_flight < share.at_each)
    }

    /// True if an owner may place the prompts of other instances there now. Upstreams that are
    /// rate limited or cold are left to each instance, which knows its own part of what they bear.
    pub(crate) fn allows_placing(&self, now: MonoTime, id: &str, record: &UpstreamRecord) -> bool {
        let is_cold = |spec| lock(&record.cold).is_cold(now, spec);
        self.not_backing_off(now, id, record)
            && self.brittle.is_none()
            && self.state.limits.limit(id).is_none()
            && !self.cold.is_some_and(is_cold)
    }

    fn not_backing_off(&self, now: MonoTime, id: &str, record: &UpstreamRecord) -> bool {
        let (address, start) = (record.upstream.address, record.start);
        let backoff = self.state.backoffs.backoff(now, address, id, start);
        backoff.is_none()
    }

    fn limit_allows(&self, now: MonoTime, id: &str) -> bool {
        let is_limited = || self.state.limits.limit(id).is_some();
        match self.limit_filter {
            LimitFilter::Any => true,
            LimitFilter::PermitDue => {
                !is_limited() || self.state.permit_retries.may_request(now, id)
            }
            LimitFilter::Unlimited => !is_limited(),
        }
    }

    fn cold_allows(&self, now: MonoTime, record: &UpstreamRecord) -> bool {
        let Some(spec) = self.cold else {
            return true;
        };
        if !lock(&record.cold).is_cold(now, spec) {
            return true;
        }
        // Computed while `cold` is not locked. The rebuild of the table locks the cluster state
        // first and then the cold state of each upstream; the opposite order could deadlock.
        let position = self.state.fleet_position(record.upstream.address);
        lock(&record.cold).may_send(now, spec, position)
    }
}
