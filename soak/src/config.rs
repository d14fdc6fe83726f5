//! The configurations that the operator of a soak writes.

use serde_json::Value;
use serde_json::json;

use crate::turns::Load;

/// The host that callers send in their requests.
pub(crate) const HOST: &str = "soak.example";
/// The customer that owns all credentials.
pub(crate) const TENANT: &str = "walkers";
/// Credentials of the callers. The operator revokes them from the last to the second; the
/// first one stays valid.
pub(crate) const KEYS: [&str; 4] = ["key-0", "key-1", "key-2", "key-3"];

/// The upstreams that a request may be executed at, on all routes that may be retried.
pub(crate) const MAX_ATTEMPTS: usize = 2;

/// Builds the configuration of a version with the first `keys` credentials. The path of
/// one route contains the version's number, so that only this version has that route.
pub(crate) fn config(version: u64, keys: usize, load: Load) -> Value {
    let call_ms = load.call.as_secs_f64() * 1_000.0;
    let objective_ms = call_ms * 20.0;
    let route = |name: &str, kind: &str, service: &str| {
        let deadline = match kind {
            "streaming" => load.deadline,
            _ => load.single_deadline,
        };
        let timeout_ms = deadline.as_secs_f64() * 1_000.0 + 1_000.0;
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "type": kind,
            "timeout_ms": timeout_ms, "slo_ms": objective_ms, "priority": 1, "service": service,
            "max_attempts": MAX_ATTEMPTS,
        })
    };
    let mut draft = route("draft", "streaming", "model");
    draft["resumable"] = json!(true);
    draft["phases"] = json!([{ "service": "rank", "after": [], "length": load.result_bytes }]);
    let mut probe = route(&format!("v{version}"), "idempotent", "desk");
    probe["public"] = json!(true);
    json!({
        "version": version,
        "routes": [
            route("look", "idempotent", "desk"),
            route("book", "non_idempotent", "desk"),
            draft,
            route("tell", "streaming", "model"),
            probe,
        ],
        "services": [
            { "name": "desk", "max_conns": 200 },
            { "name": "model", "max_conns": 200 },
            { "name": "rank", "max_conns": 200, "segments": {
                "slots": 1, "queue": 2, "batch": 8, "call_ms": call_ms, "item_ms": 1.0,
                "headroom_mb": load.megabytes(load.results), "handle_s": 4.0,
            } },
        ],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": load.body_bytes,
            "header_timeout_ms": 3_000.0, "idle_timeout_ms": 15_000.0,
        },
        "tenants": [{ "name": TENANT, "api_keys": KEYS[..keys] }],
    })
}
