//! The configuration of a router under test.

use crate::discovery::endpoint_list;
use std::net::SocketAddr;

/// Returns a configuration with three request classes and one tenant. `known` are the entries of
/// the initial endpoint list.
pub fn configuration(discovery: SocketAddr, known: &[String]) -> serde_json::Value {
    let known: serde_json::Value =
        serde_json::from_str(&endpoint_list(7, true, known)).expect("malformed endpoint list");
    let class = |name: &str, effect: &str| {
        serde_json::json!({"name": name, "effect": effect, "group": "all", "memory_span": 2.0, "target": 0.5,
            "give_up": 4.0, "credit": 1.0, "late_value": 0.5})
    };
    serde_json::json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": {
            "peers_total": 1, "zones": ["a"], "zone": "a", "kinds": ["m"],
            "request_classes": [class("read", "idempotent"), class("put", "deduplicated"), class("once", "at_most_once")],
            "customers": [{"name": "acme", "quota_per_s": 100.0, "share": 1.0}],
            "discovery": "subscribe",
            "invariants": {"ask_within": 1.0, "grace_to_answer": 0.02, "drain_grace": 0.25, "cold_from": 0.3,
                "cold": 8.0, "overload_factor": 3.0, "fall": 1.0},
            "limits": {"max_attempts": 3, "may_duplicate": true, "conn_idle": 15.0, "dial_timeout": 0.5,
                "retry_after": true, "max_retry_after": 1.0},
            "specifics": {"mode": "through"}
        }
    })
}
