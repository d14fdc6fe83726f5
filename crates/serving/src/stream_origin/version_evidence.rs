//! Whether the version in the entry of an upstream is that of the process that answered.

use std::time::Duration;

use jd_types::MonoTime;

use super::SoftwareVersion;
use super::StreamBeginning;
use crate::UpstreamStart;

/// How long after its start an upstream may take to write its entry. Upstreams write it when they
/// start; a stream that breaks earlier waits for a proof of this age before it resumes.
const REGISTRATION_TIME: Duration = Duration::from_millis(500);

/// What is known of the upstream that began a stream.
#[derive(Debug, Clone, Copy)]
pub struct VersionEvidence<'a> {
    /// The start and the version in its entry; none if it is not listed.
    pub listed: Option<(UpstreamStart, &'a SoftwareVersion)>,
    /// When the store was last asked whether anything has changed.
    pub proven_at: Option<MonoTime>,
}

/// How certain it is that a stream was begun by the version that its origin names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionCertainty {
    /// It was.
    Certain,
    /// A later start of the upstream has another version, and either may have begun it.
    Uncertain,
    /// The upstream may have started again without an entry. A proof that is asked for at this time
    /// or later tells, unless the upstream itself does.
    UntilProof(MonoTime),
}

/// Judges whether `beginning` was answered by the start that it names, which had `software`.
///
/// An upstream that starts again under its identity writes its entry once it runs. Until that has
/// arrived, what it answers is taken for the answer of its earlier start. Upstreams that report no
/// start have a new identity after each.
pub fn judge_version(
    beginning: &StreamBeginning,
    software: &SoftwareVersion,
    evidence: VersionEvidence<'_>,
) -> VersionCertainty {
    let due = beginning.sent_at + REGISTRATION_TIME;
    match evidence.listed {
        _ if !beginning.start.is_known() => VersionCertainty::Certain,
        Some((start, listed)) if start.is_later_than(beginning.start) => match listed == software {
            true => VersionCertainty::Certain,
            false => VersionCertainty::Uncertain,
        },
        _ if evidence.proven_at.is_some_and(|at| at >= due) => VersionCertainty::Certain,
        _ => VersionCertainty::UntilProof(due),
    }
}
