//! The codes of all checks. A code is stable, so that it can be looked up, searched for and silenced. What
//! each finding means in service and how to fix it is defined here once, for `mothpierctl explain` and the
//! operators' page.

use std::fmt;

use serde::{Serialize, Serializer};

/// The code of a check.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Code(&'static Entry);

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    name: &'static str,
    title: &'static str,
    consequence: &'static str,
    fix: &'static str,
}

impl Code {
    /// Returns the printed code: MP and four digits.
    pub fn name(self) -> &'static str {
        self.0.name
    }

    /// Returns a short description of the finding.
    pub fn title(self) -> &'static str {
        self.0.title
    }

    /// Returns what would happen in service.
    pub fn consequence(self) -> &'static str {
        self.0.consequence
    }

    /// Returns how to fix such findings in general.
    pub fn fix(self) -> &'static str {
        self.0.fix
    }

    /// Returns the check with the given printed code, ignoring case.
    pub fn from_name(name: &str) -> Option<Code> {
        ALL.iter().copied().find(|c| c.name().eq_ignore_ascii_case(name.trim()))
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl fmt::Debug for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl Serialize for Code {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(self.name())
    }
}

macro_rules! codes {
    ($($constant:ident $name:literal $title:literal $consequence:literal $fix:literal)*) => {
        $(
            #[doc = $title]
            pub const $constant: Code =
                Code(&Entry { name: $name, title: $title, consequence: $consequence, fix: $fix });
        )*

        /// All checks, ordered by code.
        pub const ALL: &[Code] = &[$($constant),*];
    };
}

codes! {
    TOO_LARGE "MP0101" "the file is larger than any configuration"
        "A node that reads it would hold all of it in memory."
        "Pass the intended file."
    NOT_UTF8 "MP0102" "the file is not UTF-8"
        "Names would differ between this file and what clients and boxes send."
        "Save it as UTF-8."
    BYTE_ORDER_MARK "MP0103" "the file begins with a byte order mark"
        "JSON parsers reject it, other parsers ignore it: the same file would start one node and not the next."
        "Save it as UTF-8 without a byte order mark."
    TOO_DEEP "MP0104" "brackets are nested too deep"
        "A recursive parser would overflow its stack."
        "Close the bracket that was left open."
    SYNTAX "MP0105" "the file can't be read"
        "The node would not start."
        "Fix the position that is shown."
    CUT_OFF "MP0106" "the file ends in the middle"
        "A node that took half a file would run with the defaults for the other half."
        "Use the whole file. Write to a temporary name first, then rename it: a reader sees either the old file or the new one."
    DUPLICATE_KEY "MP0107" "a key is set twice in one block"
        "One parser takes the first, another the last: it is undefined which value applies."
        "Keep the intended one."
    EXPRESSION "MP0108" "a value is computed"
        "The file would not show the value that applies."
        "Write the value itself."
    UNKNOWN_KEY "MP0109" "a key is not known here"
        "The setting that was meant silently keeps its default."
        "Use the suggested key, or remove the line."
    WRONG_TYPE "MP0110" "a value is of the wrong type"
        "The node would not start, or would use another value."
        "Write a value of the named type."
    WRONG_UNIT "MP0111" "a value lacks its unit or has one that does not fit"
        "750 may be milliseconds to one reader and microseconds to the next; a deadline that is a thousand times too long keeps every client waiting."
        "Write the unit: \"750ms\", \"1.5s\", \"64 MiB\"."
    OUT_OF_RANGE "MP0112" "a number is out of range"
        "The node would refuse all requests, wait forever, or fail with an overflow."
        "Use a number within the named bounds."
    MISSING "MP0113" "a setting is missing"
        "No default is right for every application."
        "Add the setting."
    UNKNOWN_VALUE "MP0114" "a keyword is not one that the setting accepts"
        "The node would not start, or would use another value."
        "Use one of the named keywords."
    BAD_NAME "MP0115" "a name contains characters that are not allowed"
        "Names are sent as `c=NAME,t=NAME`; a comma, an equals sign or a space would cut a name off."
        "Use letters, digits, `-`, `_` and `.`, at most 64 of them."
    NODE_REFUSES "MP0116" "the node's own parser rejects the file"
        "The node would not start."
        "Fix what the message names."
    UNSAFE_REPEATED "MP0201" "an unsafe class is marked safe to repeat"
        "A message that may have gone out would be sent again: the member gets it twice (rule 2, no effect twice)."
        "Remove `repeat` and `copies`, or give the class a key: effect \"keyed\" with its window."
    WRITE_WITHOUT_KEY "MP0202" "a write without a key counts as safe"
        "A write whose answer is lost would be sent again and carried out twice (rule 2)."
        "Set effect to \"unsafe\", or to \"keyed\" where the boxes drop repeats."
    WRITE_NAME_MARKED_SAFE "MP0203" "a class is marked safe although its name suggests a write"
        "If the name is right, an effect would happen twice (rule 2)."
        "Set the effect that it has; a class that only reads needs a name that says so."
    WINDOW_TOO_SHORT "MP0204" "repeats are dropped for a shorter time than they may arrive"
        "The last repeat would come when the boxes have forgotten the first: the effect happens twice (rule 2)."
        "Set the window as long as the boxes keep keys, and the deadline no longer than that."
    NO_WINDOW "MP0205" "a keyed class has no window"
        "It is unknown how long a repeat is dropped, so no repeat could be sent."
        "State how long the boxes drop repeats of a key."
    WRITE_COPIED "MP0206" "a write is copied or hedged"
        "Two copies at two boxes are two effects: keys are dropped only once the first copy has been seen (rule 2)."
        "Remove `copies`: only safe classes are copied."
    WINDOW_UNUSED "MP0207" "a class has a window but no key"
        "It looks as if repeats were dropped; none are."
        "Set effect to \"keyed\", or remove `window` and `scope`."
    SCOPE_TOO_NARROW "MP0208" "repeats are dropped in only a part of the fleet"
        "A repeat that goes to another zone is carried out there, too (rule 2)."
        "Bind the class to one zone with `zones`, or set scope to \"all\" if all boxes drop repeats."
    DUPLICATE_SERVER_ADDRESS "MP0301" "one box is named twice under different spellings"
        "It gets two shares of the keys, its limits count twice, and a drain of one name leaves the other in use (rule 3)."
        "Keep one entry."
    DUPLICATE_SERVER_ID "MP0302" "one id has two addresses"
        "The node keeps one box for an id: the last address wins and the other is never asked."
        "Give each box its own id."
    READY_AND_DRAINING "MP0303" "one box is both ready and draining"
        "It would keep getting new requests while it drains (rule 3, drains are respected)."
        "Keep the state that applies."
    DRAINED_WEIGHT "MP0304" "a box that drains or is gone has a weight"
        "It would own a share of the keys and get new requests (rule 3)."
        "Remove the weight, or set the state to \"ready\"."
    DRAINED_IN_POOL "MP0305" "the static pool holds a box that drains or is gone"
        "The pool is used regardless of the server list: the box would get new requests forever (rule 3)."
        "Remove it from `pool`."
    DRAINED_ROUTE "MP0306" "a class is routed to a box that drains or is gone"
        "Every request of the class would go there (rule 3), or nowhere."
        "Route the class to a box that is ready."
    DRAINED_WARM_UP "MP0307" "a box that drains or is gone is to be warmed up"
        "Warming up sends it requests (rule 3)."
        "Remove `warm_up`."
    GRACE_TOO_LONG "MP0308" "the drain grace is over 500 ms"
        "The boxes are stopped 500 ms after the notice: what is sent later is lost (rule 3)."
        "Set it to 500 ms or less."
    ORIGIN_LISTED_AS_SERVER "MP0309" "the origin is listed among the cache boxes"
        "Reads would bypass the cache, and the limiter that protects the slow database."
        "Remove it from the boxes; the origin has its own block."
    NO_ADDRESS "MP0310" "a name has no address"
        "The node makes no look-ups here: it could not reach the box."
        "Write the address, or pass a hosts file that contains the name: --hosts FILE."
    BAD_ADDRESS "MP0311" "an address can't be read"
        "The node would not start."
        "Write ADDRESS:PORT, such as 10.1.0.18:6379 or [fd00::18]:6379."
    UNKNOWN_SERVER "MP0312" "a box that is not declared is named"
        "The pool or route would be smaller than it looks."
        "Declare the box, or use the suggested name."
    UNKNOWN_ZONE_OR_KIND "MP0313" "a zone or kind that the fleet does not have is named"
        "No box would be eligible for the class: all of its requests would fail."
        "Use one of the fleet's zones and kinds."
    AMBIGUOUS_ADDRESS "MP0314" "programs interpret the spelling of an address differently"
        "0177.0.0.1 is 127.0.0.1 to one program and 177.0.0.1 to another."
        "Write four plain decimal numbers, or a full IPv6 address."
    NO_READY_SERVER "MP0315" "no box is ready"
        "Every request would be refused until the server list names a ready box."
        "Name a ready box, or none at all and rely on the server list."
    COLD_SERVER_OVERLOAD "MP0401" "a cold box would be overloaded"
        "A box that is sent more than that multiple of its current capacity fails and stays down (rule 4)."
        "Keep `sends_at` below `falls_at`."
    AIM_BEYOND_DEADLINE "MP0501" "a class's aim is beyond its deadline"
        "The target latency would end after the client has given up."
        "Set the aim to the deadline or less."
    ATTEMPTS_BEYOND_DEADLINE "MP0502" "the attempts' time-outs exceed the deadline"
        "The last attempt would start after the client has given up: work for the boxes without an answer."
        "Lower `attempts` or `connect_timeout`, or raise the deadline."
    IDLE_CLOSE_TOO_SHORT "MP0503" "idle connections close within a deadline"
        "A box would close the connection just as a request was written: a reset, and a write that may have run."
        "Set `idle_close` longer than the longest deadline."
    RETRIES_MULTIPLY "MP0504" "retries multiply through sidecar and tier"
        "The tier retries each attempt of the sidecar: in an outage the boxes get the product of both."
        "Leave retries to the tier: set `budget` to 0 and `copies` to false; requests that never ran are still retried."
    DEADLINE_BEYOND_SHUTDOWN "MP0505" "the deadline is longer than a stopping node waits"
        "A node that is stopped is killed some seconds later; requests that take longer are lost."
        "Keep deadlines at 3 s or less, or let the supervisor wait longer."
    WILDCARD_LISTENER "MP0601" "a sidecar listens on every address"
        "Anyone who reaches the machine could send requests in the application's name."
        "Listen on 127.0.0.1, [::1] or a Unix socket."
    LISTENER_NOT_LOOPBACK "MP0602" "a sidecar listens on an address that others reach"
        "Other machines could send requests in the application's name."
        "Listen on 127.0.0.1, [::1] or a Unix socket."
    SOCKET_WORLD_ACCESSIBLE "MP0603" "the Unix socket is open to every user of the machine"
        "Any process could send requests in the application's name."
        "Set mode to \"0660\" and share a group with the application, or \"0600\"."
    LISTENER_COUNT "MP0604" "there is not exactly one address or path to listen on"
        "With none, no application could connect; with two, it is unclear which one is meant."
        "Set either `address` or `unix`."
    SELF_REFERENCE "MP0605" "the node's own address is also used for something else"
        "It would send requests to itself until its resources run out."
        "Correct the other address."
    INVALID_SOCKET_PATH "MP0606" "the socket's path can't be bound"
        "A socket path must be absolute and at most 107 bytes long (unix(7))."
        "Write a short absolute path, such as /run/mothpier/app.sock."
    UNKNOWN_TENANT "MP0607" "the application's tenant has no quota"
        "Every request of the application would be answered with an error."
        "Use a tenant that has a quota, or give this one a quota."
    AMBIGUOUS_DEFAULT_CLASS "MP0608" "a command has more than one default class"
        "A request without `c` could belong to two classes, and the wrong one could repeat what must not be repeated."
        "Mark one class of each command as `default = true`."
    TIER_UPSTREAM_CONFLICT "MP0609" "a sidecar of the shared tier follows the server list, or names no node"
        "The server list contains cache boxes: the sidecar would bypass the tier, or have no node to send requests to."
        "With upstream \"tier\" leave `discovery` out and name the tier's nodes with `box`."
    SOCKETS_BELOW_CONNECTIONS "MP0701" "there are too few sockets for the connections"
        "Clients would wait in the system's accept queue without getting a refusal."
        "Raise `sockets` or lower `connections`."
    MEMORY_TOO_SMALL "MP0702" "there is too little memory for the open requests"
        "Requests beyond it are refused with -BUSY although boxes are idle; a larger answer may get the node killed."
        "Raise `memory` or lower `open`."
    SOCKETS_BELOW_MINIMUM "MP0703" "there are too few sockets for a node to start"
        "It needs 16 of its own, and some for clients, boxes and the origin."
        "Give it at least 64."
    QUOTA_BELOW_TRAFFIC "MP0704" "the stated traffic is beyond the tenant's quota"
        "Under overload, requests beyond the quota are refused first."
        "Ask for a higher quota, or state the traffic that there is."
    ORIGIN_SHARE_TOO_SMALL "MP0801" "a node's share of the origin is below one call in ten turns"
        "A write may wait for its turn beyond its target latency."
        "Use fewer nodes, or raise what the origin takes."
    TRAFFIC_ABOVE_ORIGIN_LIMIT "MP0802" "the stated traffic is beyond what the origin takes"
        "Misses and writes of all nodes together queue at the origin's limiter and are refused."
        "Lower the stated traffic or misses, or raise what the origin takes."
    EMBEDDED_SECRET "MP0901" "the file contains a secret"
        "Files like this one are copied, shown and kept; the secret goes with them."
        "Remove it, and change the secret: others may have seen it."
    WRITABLE_BY_OTHERS "MP0902" "others may write the file"
        "Any user of the machine could point the application to a box of their own."
        "chmod go-w FILE"
    SECRET_READABLE_BY_OTHERS "MP0903" "others may read a file that holds a secret"
        "Any user of the machine could read it."
        "chmod 600 FILE, remove the secret, and change it."
    DUPLICATE_LISTENER "MP1001" "two nodes of one machine listen on the same address or path"
        "The second one does not start."
        "Give each its own port or path."
    ONE_SIDED_PEER "MP1002" "one node names another as its peer, but not the other way round"
        "Messages about drains and load would go in one direction only."
        "Name all nodes of the tier in each file, in the same order."
    MACHINE_MEMORY_EXCEEDED "MP1003" "the nodes of a machine may use more memory than it has"
        "The kernel kills one of them when all are busy."
        "Lower `memory`, or move one to another machine."
    MACHINE_SOCKETS_EXCEEDED "MP1004" "the nodes of a machine may use more sockets than it has"
        "Accepting connections fails when all are busy."
        "Lower `sockets`, or raise the machine's limit."
    ORIGIN_SHARES_EXCEEDED "MP1005" "the shares of the origin add up to more than it takes"
        "Each node divides the limits by the number of nodes that its file states; there are more."
        "State the same `origin` and the real number of `nodes` in every file."
    DUPLICATE_NODE_INDEX "MP1006" "two nodes of a tier have the same number"
        "They would take each other's turns at the origin and get each other's messages."
        "Give each its own `me`."
    FLEET_SETTINGS_DIFFER "MP1007" "files of one fleet differ in settings that must be the same"
        "Nodes with different boxes, classes or limits distribute keys differently: each moves keys of the others."
        "Use the same value in all files."
    FLEET_RETRIES_MULTIPLY "MP1008" "retries of sidecars and of the tier multiply"
        "The tier retries each attempt of a sidecar."
        "Set `budget` of the sidecars to 0 and `copies` to false."
}

#[cfg(test)]
mod tests;
