//! The platform's services over HTTP.
//!
//! One JSON object each way: `POST /kv` carries a [`KvRequest`] and brings a
//! [`KvReply`], `GET /instances` brings the list. A refusal with status 503
//! proves that nothing took effect; everything else that is not an answer
//! leaves a doubt and is reported as [`KvError::Lost`].

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use http::Request;
use http::StatusCode;
use jd_backing::InstanceList;
use jd_backing::KeyValue;
use jd_backing::KvError;
use jd_backing::KvReply;
use jd_backing::KvRequest;
use jd_backing::Listed;
use jd_backing::ServiceFuture;
use jd_net::Body;
use jd_net::HttpPool;
use jd_net::SendError;
use jd_net::with_timeout;
use serde::de::DeserializeOwned;

/// How long a call may take before its answer counts as lost.
const PATIENCE: Duration = Duration::from_secs(2);
/// The largest answer, in bytes: a scan of many of the largest values.
const MAX_ANSWER: usize = 64 << 20;

/// Adapter to the platform's services over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    pool: HttpPool,
    address: SocketAddr,
}

impl HttpPlatform {
    /// An adapter to the services at `address`.
    pub fn new(pool: HttpPool, address: SocketAddr) -> HttpPlatform {
        HttpPlatform { pool, address }
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Body,
        patience: Duration,
    ) -> Result<T, KvError> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "platform");
        let req = req.body(body).map_err(|_| KvError::Unavailable)?;
        let asking = self.ask_once(req, patience);
        let bytes = with_timeout(patience, asking)
            .await
            .ok_or(KvError::Lost)??;
        serde_json::from_slice(&bytes).map_err(|_| KvError::Lost)
    }

    async fn ask_once(
        &self,
        req: Request<Body>,
        patience: Duration,
    ) -> Result<bytes::Bytes, KvError> {
        let sent = self.pool.send(self.address, req, patience, false).await;
        let res = match sent {
            Some(Ok(res)) => res,
            Some(Err(SendError::NotSent)) => return Err(KvError::Unavailable),
            Some(Err(SendError::Broken | SendError::InvalidStatus { .. })) | None => {
                return Err(KvError::Lost);
            }
        };
        let status = res.status;
        let bytes = res.read_all(MAX_ANSWER).await.map_err(|_| KvError::Lost)?;
        match status {
            StatusCode::OK => Ok(bytes),
            StatusCode::SERVICE_UNAVAILABLE => Err(KvError::Unavailable),
            _ => Err(KvError::Lost),
        }
    }
}

impl KeyValue for HttpPlatform {
    fn call(&self, req: KvRequest) -> ServiceFuture<'_, KvReply> {
        let waits = match &req {
            KvRequest::Watch { wait_ms, .. } => Duration::from_millis(u64::from(*wait_ms)),
            _ => Duration::ZERO,
        };
        // A request is plain data; it always has a JSON form.
        let body = jd_net::full(serde_json::to_vec(&req).unwrap_or_default());
        Box::pin(async move { self.ask(Method::POST, "/kv", body, PATIENCE + waits).await })
    }
}

impl InstanceList for HttpPlatform {
    fn list(&self) -> ServiceFuture<'_, Vec<Listed>> {
        Box::pin(self.ask(Method::GET, "/instances", jd_net::empty(), PATIENCE))
    }
}
