//! The locate answer, kept for its lifetime.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use jd_entry::LocateBody;
use jd_entry::LocateEntryBody;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::lock;
use jd_net::with_timeout;
use jd_types::MonoTime;

use crate::exchange::request;

/// How long a locate call may take.
const LOCATE_WITHIN: Duration = Duration::from_millis(500);
/// The largest locate answer, in bytes.
const MAX_ANSWER: usize = 64 << 10;

/// The locate answer, kept for its lifetime.
#[derive(Debug)]
pub(crate) struct Directory {
    clock: Clock,
    pool: HttpPool,
    path: String,
    seeds: Vec<SocketAddr>,
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    entries: Vec<LocateEntryBody>,
    until: MonoTime,
}

impl Directory {
    pub(crate) fn new(
        clock: Clock,
        pool: HttpPool,
        hall: Option<&str>,
        seeds: Vec<SocketAddr>,
    ) -> Directory {
        let path = match hall {
            Some(hall) => format!("/v1/locate?hall={hall}"),
            None => "/v1/locate".to_owned(),
        };
        Directory {
            clock,
            pool,
            path,
            seeds,
            kept: Mutex::default(),
        }
    }

    /// Addresses in order of preference; empty if nobody answers.
    pub(crate) async fn entries(&self) -> Vec<LocateEntryBody> {
        let known = {
            let kept = lock(&self.kept);
            if self.clock.now() < kept.until {
                return kept.entries.clone();
            }
            kept.entries
                .iter()
                .map(|e| e.address)
                .collect::<Vec<SocketAddr>>()
        };
        for address in known.iter().chain(&self.seeds) {
            if let Some(body) = self.ask(*address).await {
                return self.keep(body);
            }
        }
        Vec::new()
    }

    /// The answer turned out wrong: ask again next time, somebody else first.
    pub(crate) fn distrust(&self, address: SocketAddr) {
        let mut kept = lock(&self.kept);
        kept.until = MonoTime::ZERO;
        kept.entries.retain(|e| e.address != address);
    }

    fn keep(&self, body: LocateBody) -> Vec<LocateEntryBody> {
        let lifetime = Duration::from_millis(body.lifetime_ms);
        let until = self.clock.now() + lifetime;
        *lock(&self.kept) = Kept {
            entries: body.addresses.clone(),
            until,
        };
        body.addresses
    }

    async fn ask(&self, address: SocketAddr) -> Option<LocateBody> {
        let req = request(Method::GET, &self.path, &[], String::new())?;
        let asking = async {
            let res = self
                .pool
                .send(address, req, LOCATE_WITHIN, false)
                .await?
                .ok()?;
            let ok = res.status == StatusCode::OK;
            let bytes = res.read_all(MAX_ANSWER).await.ok()?;
            let body: LocateBody = serde_json::from_slice(&bytes).ok()?;
            (ok && !body.addresses.is_empty()).then_some(body)
        };
        with_timeout(LOCATE_WITHIN, asking).await.flatten()
    }
}
