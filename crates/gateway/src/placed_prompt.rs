//! The placement of a request's prompt, from the owner of a shard to the first attempt.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use jd_serving::FETCH_TIMEOUT;
use jd_serving::PromptPlacement;
use jd_types::AttemptOutcome;

use crate::caller_request::CallerRequest;
use crate::selection_filter::SelectionFilter;
use crate::state::State;
use crate::upstream_record::SelectedUpstream;

/// How many times longer than expected the first event may take while a prompt is read. Upstreams
/// slow down by about this factor for half a second.
const MAX_SLOWDOWN: u32 = 3;

/// The timeout of an attempt with a fetch, from the expected time to its first event. A source that
/// hangs costs a caller no more.
pub(crate) fn fetch_timeout(expected: Duration) -> Duration {
    FETCH_TIMEOUT.saturating_add(expected.saturating_mul(MAX_SLOWDOWN))
}

/// The placement of a request's prompt. It counts for the first attempt only: what it is based on
/// has changed by the second.
#[derive(Debug, Default)]
pub(crate) struct PlacedPrompt {
    placement: Option<PromptPlacement>,
    /// The source of a fetch that failed. It may hang, and is often the upstream that the next
    /// attempt would select.
    failed_source: Option<CompactString>,
}

/// The upstream that was selected for an attempt.
#[derive(Debug)]
pub(crate) struct NextUpstream {
    pub(crate) chosen: SelectedUpstream,
    /// The upstream from which it is to fetch tokens of the prompt.
    pub(crate) fetch_from: Option<SocketAddr>,
}

impl PlacedPrompt {
    pub(crate) fn new(placement: Option<PromptPlacement>) -> PlacedPrompt {
        PlacedPrompt {
            placement,
            failed_source: None,
        }
    }

    /// The upstream that the owner selected, if `filter` allows it.
    pub(crate) fn take(
        &mut self,
        state: &State,
        request: &CallerRequest,
        filter: &SelectionFilter<'_>,
    ) -> Option<NextUpstream> {
        let placement = self.placement.take()?;
        let service = &request.service;
        let table = state.upstreams.load();
        let placed = (placement.upstream.as_str(), placement.start);
        let Some(chosen) = table.pick_placed(service, state.now(), placed, filter) else {
            state.metrics.placement("unusable");
            log::info!(
                request = request.id(),
                upstream = placement.upstream.as_str();
                "prompt is not sent to the upstream that was selected for it"
            );
            return None;
        };
        let source = placement.fetch_from.filter(|source| {
            *source != chosen.upstream.address
                && table.has_version_at(service, *source, &chosen.software)
        });
        state.metrics.placement(match source {
            Some(_) => "used-with-fetch",
            None => "used",
        });
        Some(NextUpstream {
            chosen,
            fetch_from: source,
        })
    }

    /// Records that an attempt with a fetch failed. Returns true if the same upstream is to be
    /// tried again without it, because it answered that it did not run the request.
    pub(crate) fn record_failed_fetch(
        &mut self,
        state: &State,
        request: &CallerRequest,
        (upstream, source): (&SelectedUpstream, SocketAddr),
        outcome: AttemptOutcome,
    ) -> bool {
        // An upstream that could not be reached has fetched nothing.
        if outcome != AttemptOutcome::Unreachable {
            let known = state.upstreams.load().by_address(source);
            self.failed_source = known.map(|u| u.id);
        }
        state.metrics.placement("fetch-failed");
        log::info!(
            request = request.id(),
            upstream = upstream.id.as_str(),
            source:% = source,
            outcome = outcome.as_str();
            "attempt with a fetch failed"
        );
        let answered = outcome == AttemptOutcome::NotRun;
        if answered {
            self.placement = Some(PromptPlacement {
                upstream: upstream.id.clone().into(),
                start: upstream.start,
                fetch_from: None,
            });
        }
        answered
    }

    /// An upstream that is not selected while there are others.
    pub(crate) fn failed_source(&self) -> Option<&CompactString> {
        self.failed_source.as_ref()
    }
}
