//! What `new` writes: a commented file for one application, from a profile and what is said of it.

use std::fmt::Write;

use crate::read::Form;

/// A kind of application.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// People at their phones: reads and messages.
    MemberApp,
    /// People at a browser: more connections, patient reads.
    Website,
    /// A program that reads in bulk and can wait.
    Batch,
}

/// All of them by their names.
pub const PROFILES: [(&str, Profile); 3] =
    [("member-app", Profile::MemberApp), ("website", Profile::Website), ("batch", Profile::Batch)];

/// A box, or a node of the tier, by its id and address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Named {
    /// Its id in the list.
    pub id: String,
    /// Its address.
    pub address: String,
}

/// What is said of an application.
#[derive(Clone, Debug)]
pub struct Answers {
    /// Its name.
    pub app: String,
    /// Its kind.
    pub profile: Profile,
    /// Who pays.
    pub tenant: String,
    /// Its address of loopback, or an absolute path for a Unix socket.
    pub listen: String,
    /// Where the list of boxes is; `None` where requests go to the tier.
    pub discovery: Option<String>,
    /// Sidecars in all.
    pub nodes: u64,
    /// This one's number.
    pub me: u64,
    /// Boxes known before the list, or the tier's nodes.
    pub boxes: Vec<Named>,
    /// The origin's address, where the file is to name it.
    pub origin: Option<String>,
    /// Calls at once and a second that the origin takes of all.
    pub origin_takes: (f64, f64),
    /// The tenant's requests a second over all nodes.
    pub quota: f64,
    /// Safe requests may have two attempts out.
    pub copies: bool,
    /// The machine's name.
    pub machine: Option<String>,
    /// How it is to be written.
    pub form: Form,
}

struct Writer {
    text: String,
    form: Form,
    inside: bool,
}

impl Writer {
    fn say(&mut self, comment: &str) {
        let indent = self.indent();
        for line in comment.lines() {
            let _ = writeln!(self.text, "{indent}# {line}");
        }
    }

    fn indent(&self) -> &'static str {
        if self.inside && self.form == Form::Hcl { "  " } else { "" }
    }

    fn set(&mut self, key: &str, value: &str) {
        let indent = self.indent();
        let _ = writeln!(self.text, "{indent}{key} = {value}");
    }

    fn text(&mut self, key: &str, value: &str) {
        self.set(key, &format!("{value:?}"));
    }

    /// A block; with a name it is one of several.
    fn block(&mut self, key: &str, name: Option<&str>, inside: impl FnOnce(&mut Writer)) {
        let _ = match (self.form, name) {
            (Form::Hcl, None) => writeln!(self.text, "{key} {{"),
            (Form::Hcl, Some(name)) => writeln!(self.text, "{key} {name:?} {{"),
            (_, None) => writeln!(self.text, "[{key}]"),
            (_, Some(name)) => writeln!(self.text, "[[{key}]]\nname = {name:?}"),
        };
        self.inside = true;
        inside(self);
        self.inside = false;
        self.text.push_str(if self.form == Form::Hcl { "}\n\n" } else { "\n" });
    }
}

struct Class {
    name: &'static str,
    effect: &'static str,
    command: &'static str,
    aim: &'static str,
    deadline: &'static str,
    worth: u32,
    window: Option<&'static str>,
    comment: &'static str,
}

const MESSAGE: Class = Class {
    name: "send-message",
    effect: "unsafe",
    command: "write",
    aim: "300ms",
    deadline: "1s",
    worth: 8,
    window: None,
    comment: "A message must never go out twice: nothing that may have run is sent again.",
};
const INTEREST: Class = Class {
    name: "send-interest",
    effect: "keyed",
    command: "write",
    aim: "300ms",
    deadline: "600ms",
    worth: 3,
    window: Some("3s"),
    comment: "It carries a key (`k=`); all boxes drop a repeat of the key within the window.",
};

fn classes(profile: Profile) -> Vec<Class> {
    let browse = |aim, worth, comment| Class {
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
                MESSAGE,
                INTEREST,
            ]
        }
        Profile::Website => {
            vec![
                browse("1s", 2, "Pages: a browser shows the page when all of it is there."),
                MESSAGE,
                INTEREST,
            ]
        }
        Profile::Batch => vec![browse("1400ms", 1, "Reads in bulk: worth less than a member who waits.")],
    }
}

struct Size {
    memory: &'static str,
    sockets: u32,
    connections: u32,
    open: u32,
    attempts: u32,
}

fn size(profile: Profile) -> Size {
    match profile {
        Profile::MemberApp => {
            Size { memory: "64 MiB", sockets: 512, connections: 128, open: 512, attempts: 3 }
        }
        Profile::Website => {
            Size { memory: "128 MiB", sockets: 1024, connections: 400, open: 1024, attempts: 3 }
        }
        Profile::Batch => Size { memory: "32 MiB", sockets: 128, connections: 16, open: 128, attempts: 2 },
    }
}

/// Writes the file. `words` are those of the command, which a later one reads to know what it wrote itself.
pub fn write(a: &Answers, words: &str) -> String {
    let mut w = Writer { text: String::new(), form: a.form, inside: false };
    let tier = a.discovery.is_none();
    let profile = PROFILES.iter().find(|(_, p)| *p == a.profile).map_or("", |(name, _)| name);
    w.say(&format!("The sidecar of {}, from the profile {profile}.", a.app));
    w.say(&format!("{HEADER}{words}"));
    w.say("Lines of yours stay when the command runs again. Check: mothpierctl check FILE");
    w.text.push('\n');
    w.text("app", &a.app);
    w.say("Who pays for its requests; the application can't name another.");
    w.text("tenant", &a.tenant);
    w.say(if tier { "Requests go to the nodes of the shared tier." } else { "Requests go to the boxes." });
    w.text("upstream", if tier { "tier" } else { "boxes" });
    w.say("Sidecars of the whole fleet, and this one's number: its part of what the origin takes.");
    w.set("nodes", &a.nodes.to_string());
    w.set("me", &a.me.to_string());
    // In TOML what stands below a block's name belongs to it: lists come first.
    if !tier {
        w.say("Kinds of machines in the list, without the origin's; reports: the figures that boxes tell.");
        w.set("kinds", "[\"full-box\", \"slow-box\"]");
        w.set("reports", "[\"lat_ms\", \"busy\"]");
    }
    w.text.push('\n');
    w.say("Where the application connects: this machine alone.");
    w.block("listen", None, |w| {
        if a.listen.starts_with('/') {
            w.text("unix", &a.listen);
            w.say("Owner and group may connect, nobody else.");
            w.text("mode", "0660");
        } else {
            w.text("address", &a.listen);
        }
    });
    if let Some(discovery) = &a.discovery {
        w.say("The list of boxes. The one setting that is read anew at SIGHUP.");
        w.block("discovery", None, |w| w.text("address", discovery));
    }
    let size = size(a.profile);
    w.say("What the node may use; the checker says what must fit into it.");
    w.block("limits", None, |w| {
        w.text("memory", size.memory);
        w.set("sockets", &size.sockets.to_string());
        w.set("connections", &size.connections.to_string());
        w.set("open", &size.open.to_string());
    });
    if !tier {
        w.say("What the member database takes from all nodes together; this one takes its part, in turns.");
        w.block("origin", None, |w| {
            w.text("kind", "origin");
            if let Some(origin) = &a.origin {
                w.text("address", origin);
            }
            w.set("outstanding", &a.origin_takes.0.to_string());
            w.set("per_s", &a.origin_takes.1.to_string());
        });
        w.say("A box that has just started does a part of its work, and falls over when it is pushed.");
        w.block("cold", None, |w| {
            w.set("starts_at", "0.12");
            w.text("warm_after", "21s");
            w.set("sends_at", "1.5");
            w.set("falls_at", "3.0");
            w.text("falls_after", "2s");
        });
    }
    w.say("From the notice on nothing new goes to a box that drains; the rule allows 500 ms.");
    w.block("drain", None, |w| w.text("grace", "500ms"));
    w.say(if tier {
        "What never ran is tried again; what may have run is the tier's to repeat, or retries would multiply."
    } else {
        "How often a request is tried, and which part may be tried again after it may have run."
    });
    w.block("retries", None, |w| {
        w.set("attempts", &size.attempts.to_string());
        w.set("budget", if tier { "0" } else { "0.2" });
        w.set("copies", if a.copies && !tier { "true" } else { "false" });
        w.text("connect_timeout", "120ms");
        w.text("idle_close", "60s");
    });
    let mut defaults = std::collections::BTreeSet::new();
    for class in classes(a.profile) {
        w.say(class.comment);
        w.block("class", Some(class.name), |w| {
            w.text("effect", class.effect);
            w.text("command", class.command);
            // What writes is named by who sends it: no write happens because a word was left out.
            if class.command == "read" && defaults.insert(class.command) {
                w.say("Reads that name no class are of this one.");
                w.set("default", "true");
            }
            w.text("aim", class.aim);
            w.text("deadline", class.deadline);
            w.set("worth", &class.worth.to_string());
            if let Some(window) = class.window {
                w.text("window", window);
            }
        });
    }
    w.say("Requests a second of the tenant, over all nodes; what is beyond is turned away first.");
    w.block("quota", Some(&a.tenant), |w| w.set("per_s", &a.quota.to_string()));
    if !a.boxes.is_empty() {
        w.say(if tier {
            "The nodes of the tier."
        } else {
            "Boxes that are known before the list is; the list has the last word."
        });
        for b in &a.boxes {
            w.block("box", Some(&b.id), |w| {
                w.text("address", &b.address);
                w.text("state", "ready");
            });
        }
    }
    if let Some(machine) = &a.machine {
        w.say("Files of one machine are checked together: mothpierctl check DIR/");
        w.block("machine", None, |w| w.text("name", machine));
    }
    let end = w.text.trim_end().len();
    w.text.truncate(end);
    w.text.push('\n');
    w.text
}

/// Stands before the words of the command.
pub const HEADER: &str = "Written by: mothpierctl new ";

/// The words of the command that wrote a file.
pub fn words(text: &str) -> Option<&str> {
    text.lines().take(8).find_map(|l| l.strip_prefix("# ")?.strip_prefix(HEADER))
}
