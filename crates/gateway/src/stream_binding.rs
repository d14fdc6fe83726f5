//! The software version that a stream is bound to.

use jd_net::lock;
use jd_serving::RetryMode;
use jd_serving::SoftwareVersion;
use jd_serving::StreamBeginning;
use jd_serving::StreamId;
use jd_serving::StreamOrigin;

use crate::active_attempt::ActiveAttempt;
use crate::attempts::AttemptContext;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Binding {
    /// No event was passed on, so that any version may begin the stream.
    #[default]
    Unbound,
    /// Only the version in the state of its retries may resume it.
    Bound,
    /// It is not certain which version began it, so that none may resume it.
    Uncertain,
}

/// It is not certain which software version began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct VersionUncertain;

/// Whether a stream is bound to the software version of the upstream that began it.
#[derive(Debug, Default)]
pub(crate) struct StreamBinding {
    binding: Binding,
    /// The attempt that began the stream, unless its version was checked before it was sent.
    beginning: Option<StreamBeginning>,
}

impl StreamBinding {
    pub(crate) fn is_uncertain(&self) -> bool {
        self.binding == Binding::Uncertain
    }

    /// Binds the stream to the software version of the upstream that begins it, unless it is bound,
    /// and records its origin for the instances at which its caller may resume it.
    pub(crate) fn bind(&mut self, cx: &AttemptContext, attempt: &ActiveAttempt) {
        let resumes = cx.request.route().retry_mode == RetryMode::Resumable;
        if self.binding != Binding::Unbound || !resumes {
            return;
        }
        let told = attempt.software().cloned();
        let required = lock(&cx.retries).software.take();
        if required.is_none() {
            self.beginning = attempt.beginning();
        }
        let software = told.or(required);
        let is_certain = software.is_some() && !attempt.is_version_uncertain();
        self.binding = match is_certain {
            true => Binding::Bound,
            false => Binding::Uncertain,
        };
        if software.is_some() {
            self.record_origin(cx, software.clone().filter(|_| is_certain));
        }
        lock(&cx.retries).software = software;
    }

    /// Records that it is not certain which version began the stream.
    pub(crate) fn set_uncertain(&mut self, cx: &AttemptContext) {
        if !self.is_uncertain() {
            self.binding = Binding::Uncertain;
            self.record_origin(cx, None);
        }
    }

    /// The attempt that began the stream and the version that its upstream is to have had, if that is
    /// to be checked before the stream resumes elsewhere.
    pub(crate) fn begun_by(
        &self,
        cx: &AttemptContext,
        attempt: &ActiveAttempt,
    ) -> Result<Option<(StreamBeginning, SoftwareVersion)>, VersionUncertain> {
        match self.binding {
            Binding::Unbound => Ok(None),
            Binding::Uncertain => Err(VersionUncertain),
            Binding::Bound if attempt.is_version_uncertain() => Err(VersionUncertain),
            Binding::Bound => {
                let software = lock(&cx.retries).software.clone();
                Ok(self.beginning.clone().zip(software))
            }
        }
    }

    fn record_origin(&self, cx: &AttemptContext, software: Option<SoftwareVersion>) {
        let AttemptContext { state, request, .. } = cx;
        let Ok(id) = StreamId::try_from(request.id()) else {
            return;
        };
        let origin = StreamOrigin {
            service: request.service.clone(),
            customer: request.customer.clone(),
            software,
            beginning: self.beginning.clone(),
        };
        let until = request.arrived + request.max_stream_age();
        state.streams.record(state, id, origin, until);
    }
}
