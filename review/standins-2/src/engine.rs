//! What the engines of all cases have in common.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::store::Store;

/// The interval at which an engine writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What an engine registers in the store.
#[derive(Debug, Clone)]
pub struct Entry {
    pub id: String,
    pub service: &'static str,
    pub addr: SocketAddr,
    pub zone: &'static str,
    pub slots: u32,
    pub born: u64,
}

impl Entry {
    fn value(&self, seq: u64) -> String {
        let Entry {
            service,
            addr,
            zone,
            slots,
            born,
            ..
        } = self;
        format!(
            r#"{{"service":"{service}","addr":"{addr}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","cold_left_ms":0,"phase":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":{seq},"born":{born}}}"#
        )
    }

    /// Writes the entry now and at each heartbeat.
    pub fn register(self, store: &Arc<Store>) {
        let store = Arc::clone(store);
        let key = format!("servers/{}", self.id);
        store.write(&key, &self.value(1));
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(HEARTBEAT);
                store.write(&key, &self.value(seq));
            }
        });
    }
}

/// The answer to a request that expects another engine, if it does.
pub fn misdirected(req: &Message, id: &str) -> Option<Vec<u8>> {
    let expected = req.header("jacinthdeal-expect-instance")?;
    if expected == id {
        return None;
    }
    let mut headers = vec![
        ("Jacinthdeal-Instance", id.to_string()),
        ("Jacinthdeal-Not-Executed", "1".to_string()),
    ];
    headers.extend(echo(req));
    Some(http::response("421 Misdirected Request", &headers, b""))
}

/// The header that names the request in its answer.
pub fn echo(req: &Message) -> Option<(&'static str, String)> {
    let id = req.header("jacinthdeal-attempt-id")?;
    Some(("Jacinthdeal-Attempt-Id", id.to_string()))
}

pub fn signature(req: &Message) -> (&'static str, String) {
    let id = req.header("jacinthdeal-attempt-id").unwrap_or("");
    ("Jacinthdeal-Signature", format!("sig.{id}"))
}

/// A head for a body in chunks.
pub fn chunked_head(status: &str, headers: &[(&str, String)]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    head.into_bytes()
}

pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The report of a model engine.
pub fn model_report(born: u64) -> Vec<u8> {
    http::json(&format!(
        r#"{{"phase":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"active":0,"kv_used":0,"kv_total":400000,"handles":0,"state":"ready","runs":[],"born":{born}}}"#
    ))
}
