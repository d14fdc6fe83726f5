//! The requests in flight, and what each of them waits for.

use std::sync::Arc;
use std::sync::Mutex;

use compact_str::CompactString;
use compact_str::ToCompactString;
use jd_net::lock;
use jd_serving::Content;
use jd_types::MonoTime;
use slab::Slab;

use crate::state::State;

/// The requests that are logged one by one when the process ends. The others are counted.
const MAX_LOGGED: usize = 256;

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Wait {
    /// Its body.
    Body,
    /// An upstream that may be sent the request.
    Permit,
    /// Another run of the same request, which is suspected of crashing upstreams.
    Trial,
    /// Its stages.
    Stages,
    /// The head of the response.
    ResponseHead,
    /// The next bytes of the response.
    ResponseBody,
    /// Its caller, which reads the response.
    Caller,
}

impl Wait {
    const fn as_str(self) -> &'static str {
        match self {
            Wait::Body => "body",
            Wait::Permit => "permit",
            Wait::Trial => "trial",
            Wait::Stages => "stages",
            Wait::ResponseHead => "head",
            Wait::ResponseBody => "answer",
            Wait::Caller => "caller",
        }
    }

    /// True if the caller has received the head of a response.
    const fn has_begun(self) -> bool {
        matches!(self, Wait::Caller)
    }
}

/// The requests in flight. Only the end of the process goes through all of them.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests(Mutex<Slab<Arc<OpenRequest>>>);

impl OpenRequests {
    pub(crate) fn len(&self) -> usize {
        lock(&self.0).len()
    }

    /// Logs each request that the process leaves without its whole response.
    pub(crate) fn log_left(&self, now: MonoTime) {
        let open: Vec<Arc<OpenRequest>> = lock(&self.0).iter().map(|(_, r)| r.clone()).collect();
        for request in open.iter().take(MAX_LOGGED) {
            request.log_left(now);
        }
        if open.len() > MAX_LOGGED {
            let count = open.len() - MAX_LOGGED;
            log::warn!(count; "further requests open at the end");
        }
    }
}

/// A request in flight.
#[derive(Debug)]
struct OpenRequest {
    id: CompactString,
    arrived: MonoTime,
    progress: Mutex<Progress>,
}

/// How far a request has come.
#[derive(Debug)]
struct Progress {
    wait: Wait,
    since: MonoTime,
    /// The upstream or the instance that is waited for; empty if none.
    target: CompactString,
    has_begun: bool,
    /// The content and the deadline; none before the request is admitted.
    content: Option<Content>,
    deadline: Option<MonoTime>,
}

impl OpenRequest {
    fn log_left(&self, now: MonoTime) {
        let progress = lock(&self.progress);
        let content = progress.content.map(|c| c.to_compact_string());
        let content = content.unwrap_or_default();
        let left = progress.deadline.map(|d| d.since(now).as_millis() as u64);
        log::warn!(
            request = self.id.as_str(),
            content = content.as_str(),
            waits_for = progress.wait.as_str(),
            waited_ms = now.since(progress.since).as_millis() as u64,
            target = progress.target.as_str(),
            answer = match progress.has_begun {
                true => "begun",
                false => "none",
            },
            ms = now.since(self.arrived).as_millis() as u64,
            left_ms:? = left;
            "request open at the end"
        );
    }
}

/// Keeps a request among those in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    state: Arc<State>,
    key: usize,
    request: Arc<OpenRequest>,
}

impl InFlight {
    /// Adds a request whose body is read next.
    pub(crate) fn begin(state: &Arc<State>, id: &str, arrived: MonoTime) -> InFlight {
        let request = Arc::new(OpenRequest {
            id: id.into(),
            arrived,
            progress: Mutex::new(Progress {
                wait: Wait::Body,
                since: state.now(),
                target: CompactString::default(),
                has_begun: false,
                content: None,
                deadline: None,
            }),
        });
        let key = lock(&state.open_requests.0).insert(Arc::clone(&request));
        InFlight {
            state: Arc::clone(state),
            key,
            request,
        }
    }

    /// Records what is known of the request once it is admitted.
    pub(crate) fn admitted(&self, content: Content, deadline: MonoTime) {
        let mut progress = lock(&self.request.progress);
        progress.content = Some(content);
        progress.deadline = Some(deadline);
        drop(progress);
        self.waits_for(Wait::Permit, "");
    }

    /// True if the caller has received the head of a response.
    pub(crate) fn has_begun(&self) -> bool {
        lock(&self.request.progress).has_begun
    }

    /// Records what the request waits for from now on. `target` is the upstream or the instance;
    /// empty if there is none.
    pub(crate) fn waits_for(&self, wait: Wait, target: &str) {
        let now = self.state.now();
        let mut progress = lock(&self.request.progress);
        progress.wait = wait;
        progress.since = now;
        progress.has_begun |= wait.has_begun();
        if progress.target != target {
            progress.target = target.into();
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        lock(&self.state.open_requests.0).try_remove(self.key);
    }
}
