//! The JSON Schema of an application's file, for completion and validation in editors. Doc comments of the
//! types become descriptions in the schema. The reader is in [`crate::app`]; a test checks that both have the
//! same names.
#![allow(dead_code, reason = "the types are read by schemars alone")]

use schemars::JsonSchema;

/// Returns the JSON Schema of an application's file.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(File).to_value()
}

/// The configuration of an application's sidecar.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct File {
    /// Name of the application.
    app: String,
    /// Tenant that the application's requests are charged to.
    tenant: String,
    /// Where requests are sent; the cache servers by default.
    upstream: Option<Upstream>,
    /// Number of sidecars in the fleet.
    nodes: u64,
    /// Index of this sidecar, from 0.
    me: u64,
    /// Zones of the fleet.
    zones: Option<Vec<String>>,
    /// Kinds of machines, without the origin's.
    kinds: Option<Vec<String>>,
    /// Names of cache servers that are used regardless of the server list.
    pool: Option<Vec<String>>,
    /// Fields of load reports, in their order.
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
    /// Classes of requests.
    class: Vec<Class>,
    /// Quotas of tenants.
    quota: Option<Vec<Quota>>,
    /// Cache servers that are known before the server list arrives, or nodes of the tier.
    #[schemars(rename = "box")]
    boxes: Option<Vec<BoxLine>>,
}

#[derive(JsonSchema)]
#[schemars(rename_all = "lowercase")]
enum Upstream {
    /// The cache servers.
    Boxes,
    /// The nodes of the shared tier.
    Tier,
}

/// The listener to which the application connects: either `address` or `unix`.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Listen {
    /// ADDRESS:PORT, a loopback address.
    address: Option<String>,
    /// Absolute path of a Unix socket.
    unix: Option<String>,
    /// Mode of the socket, four octal digits.
    mode: Option<String>,
    /// User id of the socket's owner.
    owner: Option<u32>,
    /// Group id of the socket.
    group: Option<u32>,
}

/// The source of the server list.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Discovery {
    /// ADDRESS:PORT.
    address: String,
}

/// The listener for operators; without it there is none.
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
    /// ADDRESS:PORT that receives their datagrams.
    listen: Option<String>,
    /// Their addresses, in the order of their indices.
    nodes: Option<Vec<String>>,
}

/// Resource limits of the node.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Limits {
    /// Memory with its unit, such as "64 MiB".
    memory: String,
    /// File descriptors.
    sockets: u64,
    /// Client connections.
    connections: Option<u64>,
    /// Open requests: those without an answer yet.
    open: u64,
}

/// The origin and its limits, which the whole fleet shares.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Origin {
    /// Kind under which the server list has it.
    kind: Option<String>,
    /// ADDRESS:PORT, if the server list does not contain it.
    address: Option<String>,
    /// Concurrent calls.
    outstanding: Option<f64>,
    /// Calls per second.
    per_s: Option<f64>,
}

/// The capacity of a cold cache server, one that has just started.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Cold {
    /// Share of its capacity at the start.
    starts_at: Option<f64>,
    /// Time until it is warm, such as "21s".
    warm_after: Option<String>,
    /// Load that it is sent, as a multiple of its current capacity.
    sends_at: Option<f64>,
    /// Load at which it fails, as a multiple of its current capacity.
    falls_at: Option<f64>,
    /// Time under that load after which it fails.
    falls_after: Option<String>,
}

/// Draining cache servers.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Drain {
    /// Time after a drain notice during which requests may still be sent, 500ms at most.
    grace: Option<String>,
}

/// Retries and connections to cache servers.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Retries {
    /// Maximum number of attempts per request.
    attempts: Option<u64>,
    /// Whether a safe request may have two attempts pending.
    copies: Option<bool>,
    /// Share of requests that may be retried after they may have run; a request that never ran is always
    /// retried.
    budget: Option<f64>,
    /// Time-out for connecting.
    connect_timeout: Option<String>,
    /// Time after which cache servers close idle connections.
    idle_close: Option<String>,
    /// Concurrent attempts per connection.
    multiplex: Option<u64>,
}

/// The machine that several nodes share.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Machine {
    /// Name.
    name: String,
    /// Memory with its unit, such as "8 GiB".
    memory: Option<String>,
    /// File descriptors available to all nodes together.
    sockets: Option<u64>,
}

/// The traffic that the application expects to send.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Traffic {
    /// Requests per second of this sidecar.
    per_s: f64,
    /// Share of reads that miss.
    misses: Option<f64>,
    /// Share of requests that write.
    writes: Option<f64>,
}

/// A class of requests.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Class {
    /// Name, as requests state it in `c=`.
    name: String,
    /// Side effect of its requests, and thus of a repeat.
    effect: Effect,
    /// Command that sends it.
    command: Command,
    /// Whether requests of this command that name no class belong to this one.
    default: Option<bool>,
    /// Target latency.
    aim: String,
    /// Time after which the client stops waiting.
    deadline: String,
    /// Worth of an answer within the target latency, relative to other classes.
    worth: Option<f64>,
    /// Share of the worth that an answer after the target latency still has.
    late_worth: Option<f64>,
    /// Marks the class as safe to repeat; an error if its effect is not.
    repeat: Option<bool>,
    /// Allows a second attempt while the first is pending; an error if the effect forbids it.
    copies: Option<bool>,
    /// Time during which cache servers drop a repeat of a key.
    window: Option<String>,
    /// Cache servers that drop the repeat.
    scope: Option<Scope>,
    /// Restricts the class to cache servers of these zones.
    zones: Option<Vec<String>>,
    /// Restricts the class to cache servers of these kinds.
    kinds: Option<Vec<String>>,
    /// Restricts the class to these cache servers.
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
    /// Name of the tenant.
    name: String,
    /// Requests per second over all nodes.
    per_s: f64,
}

/// A cache server, or a node of the tier.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct BoxLine {
    /// Id in the server list.
    name: String,
    /// ADDRESS:PORT; the host may be a name that the hosts file contains.
    address: String,
    /// State.
    state: Option<State>,
    /// Weight.
    weight: Option<f64>,
    /// Whether to warm it up.
    warm_up: Option<bool>,
    /// Zone.
    zone: Option<String>,
    /// Kind of machine.
    kind: Option<String>,
}

#[derive(JsonSchema)]
#[schemars(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
    Gone,
}
