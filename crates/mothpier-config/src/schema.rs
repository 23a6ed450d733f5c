//! The application's file as types, for the JSON Schema that editors complete and check by. The reader is in
//! [`crate::app`]; a test holds both to the same names.
#![allow(dead_code, reason = "the types are read by schemars alone")]

use schemars::JsonSchema;

/// The JSON Schema of an application's file.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(File).to_value()
}

/// The configuration of an application's sidecar.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct File {
    /// The application's name.
    app: String,
    /// Who pays for its requests.
    tenant: String,
    /// What requests go to; the boxes where nothing is said.
    upstream: Option<Upstream>,
    /// Sidecars of the whole fleet.
    nodes: u64,
    /// This one's number, from 0.
    me: u64,
    /// Zones of the fleet.
    zones: Option<Vec<String>>,
    /// Kinds of machines, without the origin's.
    kinds: Option<Vec<String>>,
    /// Boxes, by name, that are used whatever the list says.
    pool: Option<Vec<String>>,
    /// Figures in load reports, in their order.
    reports: Option<Vec<String>>,
    listen: Listen,
    discovery: Option<Discovery>,
    operator: Option<Operator>,
    peers: Option<Peers>,
    limits: Limits,
    origin: Option<Origin>,
    cold: Option<Cold>,
    drain: Option<Drain>,
    retries: Option<Retries>,
    machine: Option<Machine>,
    traffic: Option<Traffic>,
    /// Kinds of requests.
    class: Vec<Class>,
    /// Quotas of tenants.
    quota: Option<Vec<Quota>>,
    /// Boxes that are known before the list is, or nodes of the tier.
    #[schemars(rename = "box")]
    boxes: Option<Vec<BoxLine>>,
}

#[derive(JsonSchema)]
#[schemars(rename_all = "lowercase")]
enum Upstream {
    /// The cache boxes.
    Boxes,
    /// The nodes of the shared tier.
    Tier,
}

/// Where the application connects: either `address` or `unix`.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Listen {
    /// ADDRESS:PORT of loopback.
    address: Option<String>,
    /// Absolute path of a Unix socket.
    unix: Option<String>,
    /// Its mode, four octal digits.
    mode: Option<String>,
    /// Its owner, a number.
    owner: Option<u32>,
    /// Its group, a number.
    group: Option<u32>,
}

/// The list of boxes.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Discovery {
    /// ADDRESS:PORT.
    address: String,
}

/// Where the operators' staff call; without it there is no such door.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Operator {
    /// ADDRESS:PORT.
    address: String,
}

/// Other nodes of the fleet.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Peers {
    /// Where their datagrams arrive, ADDRESS:PORT.
    listen: Option<String>,
    /// Their addresses, in the order of their numbers.
    nodes: Option<Vec<String>>,
}

/// What the node may use.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Limits {
    /// A size with its unit, as "64 MiB".
    memory: String,
    /// File descriptors.
    sockets: u64,
    /// Client connections.
    connections: Option<u64>,
    /// Requests without an answer.
    open: u64,
}

/// What the origin takes from the whole fleet.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Origin {
    /// Its kind in the list.
    kind: Option<String>,
    /// ADDRESS:PORT, where the list does not tell.
    address: Option<String>,
    /// Calls at once.
    outstanding: Option<f64>,
    /// Calls a second.
    per_s: Option<f64>,
}

/// What a box that has just started stands.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Cold {
    /// Part of its capacity at the start.
    starts_at: Option<f64>,
    /// It is warm after this time, as "21s".
    warm_after: Option<String>,
    /// Sent this multiple of what it can do.
    sends_at: Option<f64>,
    /// It falls over at this multiple,
    falls_at: Option<f64>,
    /// after this time.
    falls_after: Option<String>,
}

/// Boxes that drain.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Drain {
    /// Nothing new behind this time, 500ms at most.
    grace: Option<String>,
}

/// How requests are tried again.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Retries {
    /// Attempts of one request.
    attempts: Option<u64>,
    /// Safe ones may have two out at once.
    copies: Option<bool>,
    /// Part of the requests that may be tried again after they may have run; what never ran always is.
    budget: Option<f64>,
    /// A connection is given up after this time.
    connect_timeout: Option<String>,
    /// Boxes close idle connections after this time.
    idle_close: Option<String>,
    /// Attempts on one connection.
    multiplex: Option<u64>,
}

/// The machine that several nodes share.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Machine {
    /// Its name.
    name: String,
    /// Its memory.
    memory: Option<String>,
    /// The descriptors that it gives all of them.
    sockets: Option<u64>,
}

/// What the application will send.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Traffic {
    /// Requests a second of this sidecar.
    per_s: f64,
    /// Part of the reads that miss.
    misses: Option<f64>,
    /// Part of the requests that write.
    writes: Option<f64>,
}

/// A kind of request.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Class {
    /// Its name, as in `c=`.
    name: String,
    /// What a repeat of it does.
    effect: Effect,
    /// How it is sent.
    command: Command,
    /// Requests of this command that name no class are of this one.
    default: Option<bool>,
    /// An answer within this time is wanted.
    aim: String,
    /// Nobody waits any longer.
    deadline: String,
    /// What an answer in time is worth against other classes.
    worth: Option<f64>,
    /// Part of that for one behind the aim.
    late_worth: Option<f64>,
    /// Said to be safe to repeat; refused where it is not.
    repeat: Option<bool>,
    /// Said to be copied; refused where it may not be.
    copies: Option<bool>,
    /// Boxes drop a repeat of a key for this long.
    window: Option<String>,
    /// Which boxes drop it.
    scope: Option<Scope>,
    /// Only boxes of these zones.
    zones: Option<Vec<String>>,
    /// Only boxes of these kinds.
    kinds: Option<Vec<String>>,
    /// Only these boxes.
    boxes: Option<Vec<String>>,
}

#[derive(JsonSchema)]
#[schemars(rename_all = "lowercase")]
enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(JsonSchema)]
#[schemars(rename_all = "lowercase")]
enum Command {
    /// CACHE.GET
    Read,
    /// CACHE.SET
    Write,
}

#[derive(JsonSchema)]
#[schemars(rename_all = "lowercase")]
enum Scope {
    All,
    Zone,
    Cell,
}

/// A tenant's quota.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Quota {
    /// The tenant.
    name: String,
    /// Requests a second over all nodes.
    per_s: f64,
}

/// A cache box, or a node of the tier.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct BoxLine {
    /// Its id in the list.
    name: String,
    /// ADDRESS:PORT, or a name that the hosts file has.
    address: String,
    /// Whether it takes requests.
    state: Option<State>,
    /// Its size.
    weight: Option<f64>,
    /// It is to be warmed up.
    warm_up: Option<bool>,
    /// Its zone.
    zone: Option<String>,
    /// Its kind.
    kind: Option<String>,
}

#[derive(JsonSchema)]
#[schemars(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
    Gone,
}
