//! The codes of all checks. A code is stable, so that it can be looked up, searched for and silenced. What each finding
//! means in service and how to fix it is defined here once, for `mothpierctl explain` and the operators' page.

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
    pub fn in_service(self) -> &'static str {
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
        "Hand over the file that was meant."
    NOT_UTF8 "MP0102" "the file is not UTF-8"
        "Names would differ between this file and what clients and boxes send."
        "Save it as UTF-8."
    BYTE_ORDER_MARK "MP0103" "the file begins with a byte order mark"
        "Readers of JSON refuse it, others pass it over: the same file would start one node and not the next."
        "Save it as UTF-8 without a byte order mark."
    TOO_DEEP "MP0104" "brackets are nested too deep"
        "A reader that follows them runs out of its stack."
        "Close the bracket that was left open."
    SYNTAX "MP0105" "the file can't be read"
        "The node would not start."
        "Mend the place that is shown."
    CUT_OFF "MP0106" "the file ends in the middle"
        "A node that took half a file would run with the defaults for the other half."
        "Take the whole file. Write to a temporary name first, then rename: then a reader sees the old file or the new one."
    DUPLICATE_KEY "MP0107" "a name stands twice in one block"
        "One reader takes the first, another the last: nobody can say which value holds."
        "Keep the one that is meant."
    EXPRESSION "MP0108" "a value is computed"
        "What holds could not be read off the file."
        "Write the value itself."
    UNKNOWN_KEY "MP0109" "a name is not known here"
        "What it was meant to set keeps its default, without a word."
        "Take the name that is suggested, or take the line out."
    WRONG_TYPE "MP0110" "a value is of the wrong type"
        "The node would not start, or take another value."
        "Write a value of the type that is named."
    WRONG_UNIT "MP0111" "a value lacks its unit or has one that does not fit"
        "750 may be milliseconds to one reader and microseconds to the next; a deadline that is a thousand times too long holds every client."
        "Write the unit: \"750ms\", \"1.5s\", \"64 MiB\"."
    OUT_OF_RANGE "MP0112" "a figure is out of its range"
        "The node would refuse everything, wait for ever, or stop at an overflow."
        "Take a figure within the bounds that are named."
    MISSING "MP0113" "a setting is missing"
        "There is no default that would be right for every application."
        "Write it."
    UNKNOWN_VALUE "MP0114" "a word is none of those that this setting knows"
        "The node would not start, or take another word for it."
        "Take one of the words that are named."
    BAD_NAME "MP0115" "a name holds what no name can hold"
        "Names travel as `c=NAME,t=NAME`; a comma, an equals sign or a blank in one would end it in the middle."
        "Use letters, digits, `-`, `_` and `.`, at most 64 of them."
    NODE_REFUSES "MP0116" "the node's own reader refuses the file"
        "The node would not start."
        "Mend what is named."
    UNSAFE_REPEATED "MP0201" "an unsafe class is marked safe to repeat"
        "A message that may have gone out would be sent again: the member gets it twice (rule 2, no effect twice)."
        "Take `repeat` and `copies` out, or give the class a key: effect \"keyed\" with its window."
    WRITE_WITHOUT_KEY "MP0202" "a write without a key counts as safe"
        "A write whose answer is lost would be sent again and carried out twice (rule 2)."
        "Set effect to \"unsafe\", or to \"keyed\" where the boxes drop repeats."
    WRITE_NAME_MARKED_SAFE "MP0203" "a class is marked safe whose name says that it writes"
        "If the name is right, an effect would happen twice (rule 2)."
        "Set the effect that it has; a class that only reads needs a name that says so."
    WINDOW_TOO_SHORT "MP0204" "repeats are dropped for a shorter time than they may come"
        "The last repeat would come when the boxes have forgotten the first: the effect happens twice (rule 2)."
        "Set the window as long as the boxes keep keys, and the deadline no longer than that."
    NO_WINDOW "MP0205" "a keyed class has no window"
        "Nobody knows how long a repeat is dropped, so none could ever be sent."
        "Say for how long the boxes drop repeats of a key."
    WRITE_COPIED "MP0206" "a write is copied or hedged"
        "Two copies at two boxes are two effects: keys are dropped only once the first copy has been seen (rule 2)."
        "Take `copies` out: only safe classes are copied."
    WINDOW_UNUSED "MP0207" "a class has a window but no key"
        "It looks as if repeats were dropped; none are."
        "Set effect to \"keyed\", or take `window` and `scope` out."
    SCOPE_TOO_NARROW "MP0208" "repeats are dropped in a part of the fleet alone"
        "A repeat that goes to another zone is carried out there, too (rule 2)."
        "Bind the class to one zone with `zones`, or set scope to \"all\" where that is so."
    DUPLICATE_SERVER_ADDRESS "MP0301" "one box is named twice under different spellings"
        "It gets two shares of the keys, its limits count twice, and a drain of one name leaves the other in use (rule 3)."
        "Keep one entry."
    DUPLICATE_SERVER_ID "MP0302" "one id stands at two addresses"
        "The node keeps one box for an id: the last address wins and the other is never asked."
        "Give each box its own id."
    READY_AND_DRAINING "MP0303" "one box is both ready and draining"
        "It would go on getting new requests while it wants none (rule 3, drains are kept)."
        "Keep the state that holds."
    DRAINED_WEIGHT "MP0304" "a box that drains or is gone has a weight"
        "A share of the keys would be its own, and new requests would go there (rule 3)."
        "Take the weight out, or set the state to \"ready\"."
    DRAINED_IN_POOL "MP0305" "the static pool holds a box that drains or is gone"
        "The pool is used whatever the list says: it would get new requests for ever (rule 3)."
        "Take it out of `pool`."
    DRAINED_ROUTE "MP0306" "a class is routed to a box that drains or is gone"
        "Every request of the class would go there (rule 3), or nowhere."
        "Route the class to a box that is ready."
    DRAINED_WARM_UP "MP0307" "a box that drains or is gone is to be warmed up"
        "Warming up sends it requests (rule 3)."
        "Take `warm_up` out."
    GRACE_TOO_LONG "MP0308" "the drain grace is over 500 ms"
        "The boxes are stopped 500 ms after the notice: what is sent later is lost (rule 3)."
        "Set it to 500 ms or less."
    ORIGIN_LISTED_AS_SERVER "MP0309" "the origin stands among the cache boxes"
        "Reads would go past the cache to the slow database, and around the gate that protects it."
        "Take it out of the boxes; the origin has a block of its own."
    NO_ADDRESS "MP0310" "a name has no address"
        "The node makes no look-ups here: it could not reach the box."
        "Write the address, or hand over a hosts file that names it: --hosts FILE."
    BAD_ADDRESS "MP0311" "an address can't be read"
        "The node would not start."
        "Write ADDRESS:PORT, as 10.1.0.18:6379 or [fd00::18]:6379."
    UNKNOWN_SERVER "MP0312" "a box is named that is not declared"
        "The pool or route would be smaller than it looks."
        "Declare the box, or take the name that is suggested."
    UNKNOWN_ZONE_OR_KIND "MP0313" "a zone or kind is named that the fleet does not have"
        "No box would be open to the class: all of its requests would fail."
        "Take one of the fleet's zones and kinds."
    AMBIGUOUS_ADDRESS "MP0314" "an address is spelled so that programs differ on it"
        "0177.0.0.1 is 127.0.0.1 to one program and 177.0.0.1 to another."
        "Write four plain decimal numbers, or a full IPv6 address."
    NO_READY_SERVER "MP0315" "no box is ready"
        "Every request would be refused until the list says otherwise."
        "Name a box that is ready, or none at all and let the list name them."
    COLD_SERVER_OVERLOAD "MP0401" "a cold box would be pushed over"
        "Sent more than that multiple of what it can do at the moment, it falls over and stays down (rule 4)."
        "Keep `sends_at` below `falls_at`."
    AIM_BEYOND_DEADLINE "MP0501" "a class's aim is beyond its deadline"
        "The answer is wanted after the client has gone: nothing would ever be in time."
        "Set the aim to the deadline or less."
    ATTEMPTS_BEYOND_DEADLINE "MP0502" "the attempts' time-outs reach beyond the deadline"
        "The last attempt is begun when nobody waits any more: work for boxes, and no answer."
        "Lower `attempts` or `connect_timeout`, or raise the deadline."
    IDLE_CLOSE_TOO_SHORT "MP0503" "idle connections close within a deadline"
        "A box closes the connection under a request that was just written: a reset, and a write that may have run."
        "Set `idle_close` longer than the longest deadline."
    RETRIES_MULTIPLY "MP0504" "retries multiply through sidecar and tier"
        "Each attempt of the sidecar becomes as many of the tier: in an outage the boxes get the product."
        "Leave it to the tier: set `budget` to 0 and `copies` to false; what never ran is still sent again."
    DEADLINE_BEYOND_SHUTDOWN "MP0505" "the deadline is longer than a stopping node waits"
        "A node that is stopped is killed some seconds later; requests that may take longer are lost then."
        "Keep deadlines at 3 s or less, or let the supervisor wait longer."
    WILDCARD_LISTENER "MP0601" "a sidecar listens on every address"
        "Anybody who reaches the machine may ask in the application's name."
        "Listen on 127.0.0.1, [::1] or a Unix socket."
    LISTENER_NOT_LOOPBACK "MP0602" "a sidecar listens on an address that others reach"
        "Other machines may ask in the application's name."
        "Listen on 127.0.0.1, [::1] or a Unix socket."
    SOCKET_WORLD_ACCESSIBLE "MP0603" "the Unix socket is open to every user of the machine"
        "Any process may ask in the application's name."
        "Set mode to \"0660\" and share a group with the application, or \"0600\"."
    LISTENER_COUNT "MP0604" "there is not one place to listen at"
        "With none no application could connect; with two nobody can say which is meant."
        "Set either `address` or `unix`."
    SELF_REFERENCE "MP0605" "the node's own address is named as something else"
        "It would send requests to itself until none is left."
        "Set the address of the other one."
    INVALID_SOCKET_PATH "MP0606" "the socket's path can't be bound"
        "Paths are bound whole and absolute, and hold 107 bytes at most (unix(7))."
        "Write a short absolute path, as /run/mothpier/app.sock."
    UNKNOWN_TENANT "MP0607" "the application's tenant is none of those that have a quota"
        "Every request of the application would be answered with an error."
        "Take one of the tenants that are named, or give it a quota."
    AMBIGUOUS_DEFAULT_CLASS "MP0608" "there is not one class of a command for requests that name none"
        "A request without `c` could be of two classes, and the wrong one repeats what must not be."
        "Mark one class of each command as `default = true`."
    TIER_UPSTREAM_CONFLICT "MP0609" "a sidecar of the shared tier follows the list of boxes, or names no node"
        "The list names cache boxes: the sidecar would pass the tier by, or have nobody to ask."
        "With upstream \"tier\" leave `discovery` out and name the tier's nodes with `box`."
    SOCKETS_BELOW_CONNECTIONS "MP0701" "there are too few sockets for the connections"
        "Clients would wait in the queue of the machine while the node refuses them no word."
        "Raise `sockets` or lower `connections`."
    MEMORY_TOO_SMALL "MP0702" "there is too little memory for the open requests"
        "Requests over it are refused with -BUSY although boxes are free; a larger answer may end the node."
        "Raise `memory` or lower `open`."
    SOCKETS_BELOW_MINIMUM "MP0703" "a node can't work with so few sockets"
        "It needs 16 of its own, and some for clients, boxes and the origin."
        "Give it 64 at the least."
    QUOTA_BELOW_TRAFFIC "MP0704" "the stated traffic is beyond the tenant's quota"
        "Under strain what is beyond the quota is turned away first."
        "Ask for a higher quota, or state the traffic that there is."
    ORIGIN_SHARE_TOO_SMALL "MP0801" "a node's share of the origin is below one call in ten turns"
        "A write may wait for its turn beyond its aim."
        "Use fewer nodes, or raise what the origin takes."
    TRAFFIC_ABOVE_ORIGIN_LIMIT "MP0802" "the stated traffic is beyond what the origin takes"
        "Misses and writes of all nodes together wait at the gate and are refused."
        "Lower the stated traffic or misses, or raise what the origin takes."
    EMBEDDED_SECRET "MP0901" "a secret stands in the file"
        "Files like this one are copied, shown and kept; the secret goes with them."
        "Take it out, and change the secret: others may have seen it."
    WRITABLE_BY_OTHERS "MP0902" "others may write the file"
        "Any user of the machine could point the application to a box of their own."
        "chmod go-w FILE"
    SECRET_READABLE_BY_OTHERS "MP0903" "others may read a file that holds a secret"
        "Any user of the machine could take it."
        "chmod 600 FILE, take the secret out, and change it."
    DUPLICATE_LISTENER "MP1001" "two nodes of one machine listen at the same place"
        "The second one does not start."
        "Give each its own port or path."
    ONE_SIDED_PEER "MP1002" "one node names another as its peer, and that one does not"
        "Word of drains and load goes one way alone."
        "Name all nodes of the tier in each file, in the same order."
    MACHINE_MEMORY_EXCEEDED "MP1003" "the nodes of a machine may use more memory than it has"
        "The kernel ends one of them when all are busy."
        "Lower `memory`, or move one to another machine."
    MACHINE_SOCKETS_EXCEEDED "MP1004" "the nodes of a machine may hold more sockets than it gives"
        "Accepting fails when all are busy."
        "Lower `sockets`, or raise the machine's limit."
    ORIGIN_SHARES_EXCEEDED "MP1005" "the shares of the origin add up to more than it takes"
        "Each node takes its part by the number of nodes that its file states; there are more."
        "State the same `nodes` and `origin` in every file: the real number."
    DUPLICATE_NODE_INDEX "MP1006" "two nodes of a tier have the same number"
        "They would take each other's turns at the origin, and each other's messages."
        "Give each its own `me`."
    FLEET_SETTINGS_DIFFER "MP1007" "files of one fleet differ in what must be the same"
        "Nodes with other boxes, classes or bounds order keys differently: each moves keys of the others."
        "Take the same figure in all files."
    FLEET_RETRIES_MULTIPLY "MP1008" "retries of sidecars and of the tier multiply"
        "Each attempt of a sidecar becomes as many of the tier."
        "Set `budget` of the sidecars to 0 and `copies` to false."
}

#[cfg(test)]
mod tests;
