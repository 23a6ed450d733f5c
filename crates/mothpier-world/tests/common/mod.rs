//! What the tests over real sockets share: a node's configuration whose boxes take writes themselves.

use std::net::SocketAddr;
use std::time::Duration;

/// Nothing new may come to a box so long after its node was told that it drains (the rule's 500 ms, and 50).
pub const GRACE: Duration = Duration::from_millis(550);

/// The classes, each with what may be done to it.
pub const CLASSES: [(&str, &str); 3] =
    [("browse", "pure"), ("send-message", "side_effect"), ("send-interest", "token")];

/// A node's configuration.
pub fn configuration(listen: SocketAddr, discovery: SocketAddr) -> String {
    let classes: Vec<String> = CLASSES
        .iter()
        .map(|(name, effect)| {
            format!(
                r#"{{"name":"{name}","goalTimeUs":1000000,"deadlineUs":30000000,"lateValue":1.0,"gain":1.0,
                "effect":"{effect}","dedupScope":"all","dedupWindowUs":60000000}}"#
            )
        })
        .collect();
    format!(
        r#"{{"listen":"{listen}","discovery":"{discovery}","seed":"7","limits":{{"memory_mb":192,"sockets":1024}},
        "settings":{{"balancers":1,"me":0,"classes":[{}],"realms":[{{"name":"acme","quotaPerS":100000}}],
        "discovery":"push","zones":["a"],"machineTypes":["m"],"specifics":{{"mode":"through"}},
        "report":{{"fields":["lat_ms","busy"]}},
        "limits":{{"maxAttempts":3,"mayDuplicate":true,"mayCancel":true,"multiplex":32,"idleCloseUs":30000000,
        "connectTimeoutUs":5000000,"maxOpen":1000,"maxRetryAfterUs":600000}},
        "guarantees":{{"coldUs":1000000,"coldShare":0.5}},"periodUs":1000}}}}"#,
        classes.join(",")
    )
}
