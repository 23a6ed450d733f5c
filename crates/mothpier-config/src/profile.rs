//! Writes a commented configuration file for one application from a profile, for `mothpierctl new`.

use std::fmt::Write;

use crate::read::Form;

/// A preset for one kind of application.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// A mobile app: reads and messages.
    MemberApp,
    /// A website: more connections, and reads with a longer target latency.
    Website,
    /// A batch program: reads in bulk that can wait.
    Batch,
}

/// All profiles by name.
pub const PROFILES: [(&str, Profile); 3] =
    [("member-app", Profile::MemberApp), ("website", Profile::Website), ("batch", Profile::Batch)];

/// A cache server or a node of the shared tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedServer {
    /// Id in the server list.
    pub id: String,
    /// Address.
    pub address: String,
}

/// The properties of a sidecar whose file is to be written.
#[derive(Clone, Debug)]
pub struct SidecarSpec {
    /// Name of the application.
    pub app: String,
    /// Profile.
    pub profile: Profile,
    /// Tenant that requests are charged to.
    pub tenant: String,
    /// Loopback address, or the absolute path of a Unix socket.
    pub listen: String,
    /// Address that serves the server list; `None` if requests go to the shared tier.
    pub discovery: Option<String>,
    /// Number of sidecars in the fleet.
    pub nodes: u64,
    /// Index of this sidecar, from 0.
    pub me: u64,
    /// Cache servers known before the server list arrives, or the nodes of the tier.
    pub servers: Vec<NamedServer>,
    /// Address of the origin, if the file is to state it.
    pub origin: Option<String>,
    /// Limits of the origin for the whole fleet: concurrent calls and calls per second.
    pub origin_limits: (f64, f64),
    /// Quota of the tenant in requests per second, over all nodes.
    pub quota: f64,
    /// Whether safe requests may have two attempts pending.
    pub copies: bool,
    /// Name of the machine.
    pub machine: Option<String>,
    /// Format of the file.
    pub form: Form,
}

/// Writes a file in the syntax of its format.
struct Writer {
    text: String,
    form: Form,
    in_block: bool,
}

impl Writer {
    fn comment(&mut self, comment: &str) {
        let indent = self.indent();
        for line in comment.lines() {
            let _ = writeln!(self.text, "{indent}# {line}");
        }
    }

    fn indent(&self) -> &'static str {
        if self.in_block && self.form == Form::Hcl { "  " } else { "" }
    }

    /// Writes a setting whose value is already in the file's syntax.
    fn raw(&mut self, key: &str, value: &str) {
        let indent = self.indent();
        let _ = writeln!(self.text, "{indent}{key} = {value}");
    }

    /// Writes a string setting.
    fn string(&mut self, key: &str, value: &str) {
        self.raw(key, &format!("{value:?}"));
    }

    /// Writes a block, which has a name if there can be several of its kind.
    fn block(&mut self, key: &str, name: Option<&str>, write_body: impl FnOnce(&mut Writer)) {
        let _ = match (self.form, name) {
            (Form::Hcl, None) => writeln!(self.text, "{key} {{"),
            (Form::Hcl, Some(name)) => writeln!(self.text, "{key} {name:?} {{"),
            (_, None) => writeln!(self.text, "[{key}]"),
            (_, Some(name)) => writeln!(self.text, "[[{key}]]\nname = {name:?}"),
        };
        self.in_block = true;
        write_body(self);
        self.in_block = false;
        self.text.push_str(if self.form == Form::Hcl { "}\n\n" } else { "\n" });
    }
}

/// A class that a profile writes.
struct ClassTemplate {
    name: &'static str,
    effect: &'static str,
    command: &'static str,
    aim: &'static str,
    deadline: &'static str,
    worth: u32,
    window: Option<&'static str>,
    comment: &'static str,
}

const SEND_MESSAGE: ClassTemplate = ClassTemplate {
    name: "send-message",
    effect: "unsafe",
    command: "write",
    aim: "300ms",
    deadline: "1s",
    worth: 8,
    window: None,
    comment: "A message must never go out twice: nothing that may have run is sent again.",
};
const SEND_INTEREST: ClassTemplate = ClassTemplate {
    name: "send-interest",
    effect: "keyed",
    command: "write",
    aim: "300ms",
    deadline: "600ms",
    worth: 3,
    window: Some("3s"),
    comment: "It carries a key (`k=`); all boxes drop a repeat of the key within the window.",
};

fn classes_of(profile: Profile) -> Vec<ClassTemplate> {
    let browse = |aim, worth, comment| ClassTemplate {
        name: "browse",
        effect: "safe",
        command: "read",
        aim,
        deadline: "1500ms",
        worth,
        window: None,
        comment,
    };
    match profile {
        Profile::MemberApp => {
            vec![
                browse("750ms", 2, "Reads of profiles: nearly all traffic, safe to repeat."),
                SEND_MESSAGE,
                SEND_INTEREST,
            ]
        }
        Profile::Website => {
            vec![
                browse("1s", 2, "Pages: a browser shows the page when all of it is there."),
                SEND_MESSAGE,
                SEND_INTEREST,
            ]
        }
        Profile::Batch => vec![browse("1400ms", 1, "Reads in bulk: worth less than a member who waits.")],
    }
}

/// The limits and attempts that a profile writes.
struct Limits {
    memory: &'static str,
    sockets: u32,
    connections: u32,
    open: u32,
    attempts: u32,
}

fn limits_of(profile: Profile) -> Limits {
    match profile {
        Profile::MemberApp => {
            Limits { memory: "64 MiB", sockets: 512, connections: 128, open: 512, attempts: 3 }
        }
        Profile::Website => {
            Limits { memory: "128 MiB", sockets: 1024, connections: 400, open: 1024, attempts: 3 }
        }
        Profile::Batch => Limits { memory: "32 MiB", sockets: 128, connections: 16, open: 128, attempts: 2 },
    }
}

/// Returns the text of the file. `command_arguments` are recorded in it, so that a later run can reproduce
/// what this one wrote and merge changes.
pub fn write(spec: &SidecarSpec, command_arguments: &str) -> String {
    let mut writer = Writer { text: String::new(), form: spec.form, in_block: false };
    let tier = spec.discovery.is_none();
    let profile =
        PROFILES.iter().find(|(_, candidate)| *candidate == spec.profile).map_or("", |(name, _)| name);
    writer.comment(&format!("The sidecar of {}, from the profile {profile}.", spec.app));
    writer.comment(&format!("{COMMAND_HEADER}{command_arguments}"));
    writer.comment("Lines of yours stay when the command runs again. Check: mothpierctl check FILE");
    writer.text.push('\n');
    writer.string("app", &spec.app);
    writer.comment("Who pays for its requests; the application can't name another.");
    writer.string("tenant", &spec.tenant);
    writer.comment(if tier {
        "Requests go to the nodes of the shared tier."
    } else {
        "Requests go to the boxes."
    });
    writer.string("upstream", if tier { "tier" } else { "boxes" });
    writer.comment("Sidecars of the whole fleet, and this one's number: its part of what the origin takes.");
    writer.raw("nodes", &spec.nodes.to_string());
    writer.raw("me", &spec.me.to_string());
    // In TOML, settings after a table header belong to that table, so top-level lists come first.
    if !tier {
        writer.comment(
            "Kinds of machines in the list, without the origin's; reports: the figures that boxes tell.",
        );
        writer.raw("kinds", "[\"full-box\", \"slow-box\"]");
        writer.raw("reports", "[\"lat_ms\", \"busy\"]");
    }
    writer.text.push('\n');
    writer.comment("Where the application connects: this machine alone.");
    writer.block("listen", None, |writer| {
        if spec.listen.starts_with('/') {
            writer.string("unix", &spec.listen);
            writer.comment("Owner and group may connect, nobody else.");
            writer.string("mode", "0660");
        } else {
            writer.string("address", &spec.listen);
        }
    });
    if let Some(discovery) = &spec.discovery {
        writer.comment("The list of boxes. The one setting that is read anew at SIGHUP.");
        writer.block("discovery", None, |writer| writer.string("address", discovery));
    }
    let limits = limits_of(spec.profile);
    writer.comment("What the node may use; the checker says what must fit into it.");
    writer.block("limits", None, |writer| {
        writer.string("memory", limits.memory);
        writer.raw("sockets", &limits.sockets.to_string());
        writer.raw("connections", &limits.connections.to_string());
        writer.raw("open", &limits.open.to_string());
    });
    if !tier {
        writer.comment(
            "What the member database takes from all nodes together; this one takes its part, in turns.",
        );
        writer.block("origin", None, |writer| {
            writer.string("kind", "origin");
            if let Some(origin) = &spec.origin {
                writer.string("address", origin);
            }
            writer.raw("outstanding", &spec.origin_limits.0.to_string());
            writer.raw("per_s", &spec.origin_limits.1.to_string());
        });
        writer.comment(
            "A box that has just started does a part of its work, and falls over when it is pushed.",
        );
        writer.block("cold", None, |writer| {
            writer.raw("starts_at", "0.12");
            writer.string("warm_after", "21s");
            writer.raw("sends_at", "1.5");
            writer.raw("falls_at", "3.0");
            writer.string("falls_after", "2s");
        });
    }
    writer.comment("From the notice on nothing new goes to a box that drains; the rule allows 500 ms.");
    writer.block("drain", None, |writer| writer.string("grace", "500ms"));
    writer.comment(if tier {
        "What never ran is tried again; what may have run is the tier's to repeat, or retries would multiply."
    } else {
        "How often a request is tried, and which part may be tried again after it may have run."
    });
    writer.block("retries", None, |writer| {
        writer.raw("attempts", &limits.attempts.to_string());
        writer.raw("budget", if tier { "0" } else { "0.2" });
        writer.raw("copies", if spec.copies && !tier { "true" } else { "false" });
        writer.string("connect_timeout", "120ms");
        writer.string("idle_close", "60s");
    });
    let mut defaults = std::collections::BTreeSet::new();
    for class in classes_of(spec.profile) {
        writer.comment(class.comment);
        writer.block("class", Some(class.name), |writer| {
            writer.string("effect", class.effect);
            writer.string("command", class.command);
            // Only reads have a default class: a write must name its class, so that none is sent by omission.
            if class.command == "read" && defaults.insert(class.command) {
                writer.comment("Reads that name no class are of this one.");
                writer.raw("default", "true");
            }
            writer.string("aim", class.aim);
            writer.string("deadline", class.deadline);
            writer.raw("worth", &class.worth.to_string());
            if let Some(window) = class.window {
                writer.string("window", window);
            }
        });
    }
    writer.comment("Requests a second of the tenant, over all nodes; what is beyond is turned away first.");
    writer.block("quota", Some(&spec.tenant), |writer| writer.raw("per_s", &spec.quota.to_string()));
    if !spec.servers.is_empty() {
        writer.comment(if tier {
            "The nodes of the tier."
        } else {
            "Boxes that are known before the list is; the list has the last word."
        });
        for server in &spec.servers {
            writer.block("box", Some(&server.id), |writer| {
                writer.string("address", &server.address);
                writer.string("state", "ready");
            });
        }
    }
    if let Some(machine) = &spec.machine {
        writer.comment("Files of one machine are checked together: mothpierctl check DIR/");
        writer.block("machine", None, |writer| writer.string("name", machine));
    }
    let trimmed_len = writer.text.trim_end().len();
    writer.text.truncate(trimmed_len);
    writer.text.push('\n');
    writer.text
}

/// Prefix of the line that records the arguments of the command.
pub const COMMAND_HEADER: &str = "Written by: mothpierctl new ";

/// Returns the arguments of the command that wrote a file.
pub fn command_arguments(text: &str) -> Option<&str> {
    text.lines().take(8).find_map(|l| l.strip_prefix("# ")?.strip_prefix(COMMAND_HEADER))
}
