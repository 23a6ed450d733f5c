//! Takes settings out of a block of the tree, each with its type and bounds, and says of every name whether it is known.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::code;
use crate::finding::Finding;
use crate::place::{Hosts, Place};
use crate::tree::{At, Entry, Node, Span, Value};
use crate::units::{self, Wrong};

/// Names so much alike are suggested (Jaro-Winkler, 1 is the same).
const ALIKE: f64 = 0.75;
/// Names that tell of a secret, whatever stands before or behind.
const SECRETS: [&str; 6] = ["password", "passwd", "secret", "token", "private_key", "api_key"];

/// A block that is being read.
pub struct Block<'a> {
    /// Its name, as `class.browse`, empty for the file.
    pub path: String,
    /// Where it stands.
    pub span: Span,
    entries: &'a [Entry],
    known: BTreeSet<&'static str>,
}

impl<'a> Block<'a> {
    /// A block, or a finding that there is none.
    pub fn of(node: &'a Node, path: &str, found: &mut Vec<Finding>) -> Option<Block<'a>> {
        match &node.value {
            Value::Table(entries) => {
                let (path, span) = (path.to_owned(), node.span.clone());
                Some(Block { path, span, entries, known: BTreeSet::new() })
            }
            other => {
                let name = if path.is_empty() { "the file".to_owned() } else { format!("`{path}`") };
                let what = format!("{name} is {} where a block is wanted", other.kind());
                found.push(Finding::error(code::WRONG_TYPE, node.span.clone(), what, "write it as a block"));
                None
            }
        }
    }

    /// A block that is not there: all in it takes its default.
    pub fn empty(path: &str, span: Span) -> Block<'static> {
        Block { path: path.to_owned(), span, entries: &[], known: BTreeSet::new() }
    }

    /// A setting's full name.
    pub fn name(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// The entry of a name, which is known from here on.
    pub fn entry(&mut self, key: &'static str) -> Option<&'a Entry> {
        self.known.insert(key);
        self.entries.iter().find(|e| e.key == key && e.node.value != Value::Null)
    }

    fn wrong(&self, entry: &Entry, wanted: &str, found: &mut Vec<Finding>) {
        let what =
            format!("`{}` is {} where {wanted} is wanted", self.name(&entry.key), entry.node.value.kind());
        let mend = format!("write {wanted}");
        found.push(Finding::error(code::WRONG_TYPE, entry.node.span.clone(), what, mend));
    }

    /// A text.
    pub fn text(&mut self, key: &'static str, found: &mut Vec<Finding>) -> Option<At<String>> {
        let entry = self.entry(key)?;
        match &entry.node.value {
            Value::Text(text) => Some(At::new(text.clone(), entry.node.span.clone())),
            _ => {
                self.wrong(entry, "a text", found);
                None
            }
        }
    }

    /// A name that may travel in a request's extras.
    pub fn label(&mut self, key: &'static str, found: &mut Vec<Finding>) -> Option<At<String>> {
        let text = self.text(key, found)?;
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        if text.value.is_empty() || text.value.len() > 64 || !text.value.bytes().all(plain) {
            let what = format!("`{}` is {:?}, which is no name", self.name(key), text.value);
            found.push(Finding::error(code::BAD_NAME, text.span.clone(), what, code::BAD_NAME.mend()));
            return None;
        }
        Some(text)
    }

    /// Yes or no.
    pub fn flag(&mut self, key: &'static str, found: &mut Vec<Finding>) -> Option<At<bool>> {
        let entry = self.entry(key)?;
        match entry.node.value {
            Value::Bool(flag) => Some(At::new(flag, entry.node.span.clone())),
            _ => {
                self.wrong(entry, "true or false", found);
                None
            }
        }
    }

    /// A number within bounds.
    pub fn number(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<f64>,
        found: &mut Vec<Finding>,
    ) -> Option<At<f64>> {
        let entry = self.entry(key)?;
        let Value::Number(number) = entry.node.value else {
            self.wrong(entry, "a number", found);
            return None;
        };
        if !bounds.contains(&number) {
            let what = format!("`{}` is {number}", self.name(key));
            let mend = format!("take a number from {} to {}", bounds.start(), bounds.end());
            found.push(Finding::error(code::OUT_OF_RANGE, entry.node.span.clone(), what, mend));
            return None;
        }
        Some(At::new(number, entry.node.span.clone()))
    }

    /// A whole number within bounds.
    pub fn count(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<u64>,
        found: &mut Vec<Finding>,
    ) -> Option<At<u64>> {
        let number = self.number(key, *bounds.start() as f64..=*bounds.end() as f64, found)?;
        if number.value.fract() != 0.0 {
            let what = format!("`{}` is {}, which is no whole number", self.name(key), number.value);
            found.push(Finding::error(code::WRONG_TYPE, number.span, what, "write a whole number"));
            return None;
        }
        Some(At { value: number.value as u64, span: number.span, written: true })
    }

    /// What has a unit, read by a reader of its own.
    fn united<T: PartialOrd>(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<T>,
        (read, show, example): (impl Fn(&str) -> Result<T, Wrong>, impl Fn(&T) -> String, &str),
        found: &mut Vec<Finding>,
    ) -> Option<At<T>> {
        let entry = self.entry(key)?;
        let span = entry.node.span.clone();
        let name = self.name(key);
        let within = format!("take one from {} to {}", show(bounds.start()), show(bounds.end()));
        let text = match &entry.node.value {
            Value::Text(text) => text,
            Value::Number(n) => {
                let (what, mend) =
                    (format!("`{name}` is {n} without a unit"), format!("write it as {example:?}"));
                found.push(Finding::error(code::WRONG_UNIT, span, what, mend));
                return None;
            }
            _ => {
                self.wrong(entry, &format!("a text as {example:?}"), found);
                return None;
            }
        };
        let wrong = match read(text) {
            Ok(value) if bounds.contains(&value) => return Some(At::new(value, span)),
            Ok(_) => Finding::error(code::OUT_OF_RANGE, span, format!("`{name}` is {text:?}"), within),
            Err(Wrong::Range(e)) => {
                Finding::error(code::OUT_OF_RANGE, span, format!("`{name}`: {e}"), within)
            }
            Err(Wrong::Unit(e)) => Finding::error(
                code::WRONG_UNIT,
                span,
                format!("`{name}`: {e}"),
                format!("write it as {example:?}"),
            ),
        };
        found.push(wrong);
        None
    }

    /// A time within bounds.
    pub fn time(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<Duration>,
        found: &mut Vec<Finding>,
    ) -> Option<At<Duration>> {
        self.united(key, bounds, (units::time, |t: &Duration| units::show_time(*t), "750ms"), found)
    }

    /// A size within bounds.
    pub fn size(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<u64>,
        found: &mut Vec<Finding>,
    ) -> Option<At<u64>> {
        self.united(key, bounds, (units::size, |s: &u64| units::show_size(*s), "64 MiB"), found)
    }

    /// One of some words.
    pub fn word<T: Copy>(
        &mut self,
        key: &'static str,
        words: &[(&str, T)],
        found: &mut Vec<Finding>,
    ) -> Option<At<T>> {
        let text = self.text(key, found)?;
        let known = words.iter().find(|(w, _)| *w == text.value);
        if known.is_none() {
            let names: Vec<&str> = words.iter().map(|(w, _)| *w).collect();
            let what = format!("`{}` is {:?}", self.name(key), text.value);
            let mend = match like(&text.value, names.iter().copied()) {
                Some(alike) => format!("did you mean {alike:?}? It is one of {}", names.join(", ")),
                None => format!("take one of {}", names.join(", ")),
            };
            found.push(Finding::error(code::UNKNOWN_VALUE, text.span.clone(), what, mend));
        }
        known.map(|(_, value)| At::new(*value, text.span))
    }

    /// Texts in order.
    pub fn texts(&mut self, key: &'static str, found: &mut Vec<Finding>) -> Option<At<Vec<At<String>>>> {
        let entry = self.entry(key)?;
        let Value::List(nodes) = &entry.node.value else {
            self.wrong(entry, "a list of texts", found);
            return None;
        };
        let mut texts = Vec::with_capacity(nodes.len());
        for node in nodes {
            match &node.value {
                Value::Text(text) => texts.push(At::new(text.clone(), node.span.clone())),
                other => {
                    let what = format!("`{}` holds {} where a text is wanted", self.name(key), other.kind());
                    found.push(Finding::error(
                        code::WRONG_TYPE,
                        node.span.clone(),
                        what,
                        "write a list of texts",
                    ));
                }
            }
        }
        Some(At::new(texts, entry.node.span.clone()))
    }

    /// A place on the network.
    pub fn place(
        &mut self,
        key: &'static str,
        usual_port: Option<u16>,
        hosts: &Hosts,
        found: &mut Vec<Finding>,
    ) -> Option<At<Place>> {
        let text = self.text(key, found)?;
        place(&self.name(key), &text, usual_port, hosts, found)
    }

    /// A block within this one.
    pub fn block(&mut self, key: &'static str, found: &mut Vec<Finding>) -> Option<Block<'a>> {
        let entry = self.entry(key)?;
        let mut block = Block::of(&entry.node, &self.name(key), found)?;
        // The place of its name says more than that of all of it.
        block.span = entry.key_span.clone();
        Some(block)
    }

    /// Blocks of one kind, each with its name and their places.
    pub fn blocks(&mut self, key: &'static str, found: &mut Vec<Finding>) -> Vec<(At<String>, Block<'a>)> {
        let Some(entry) = self.entry(key) else { return Vec::new() };
        let Value::List(nodes) = &entry.node.value else {
            let mend = format!("write `{key} \"NAME\" {{ }}` in HCL, `[[{key}]]` with a `name` in TOML");
            let what =
                format!("`{}` is {} where named blocks are wanted", self.name(key), entry.node.value.kind());
            found.push(Finding::error(code::WRONG_TYPE, entry.node.span.clone(), what, mend));
            return Vec::new();
        };
        let mut blocks: Vec<(At<String>, Block<'a>)> = Vec::new();
        for node in nodes {
            let Some(mut block) = Block::of(node, &self.name(key), found) else { continue };
            let Some(name) = block.label("name", found) else {
                if block.entry("name").is_none() {
                    let what = format!("a `{key}` has no name");
                    found.push(Finding::error(code::MISSING, node.span.clone(), what, "give it one"));
                }
                continue;
            };
            if let Some((before, _)) = blocks.iter().find(|(b, _)| b.value == name.value) {
                let what = format!("there are two of `{key}` {:?}", name.value);
                found.push(
                    Finding::error(
                        code::DUPLICATE_KEY,
                        name.span.clone(),
                        what,
                        "keep the one that is meant",
                    )
                    .with(before.span.clone(), "the first one"),
                );
                continue;
            }
            block.path = format!("{}.{}", self.name(key), name.value);
            block.span = name.span.clone();
            blocks.push((name, block));
        }
        blocks
    }

    /// A setting that must be there.
    pub fn need<T>(
        &mut self,
        key: &'static str,
        got: Option<At<T>>,
        found: &mut Vec<Finding>,
    ) -> Option<At<T>> {
        // One that is there and wrong has its finding already.
        if got.is_none() && self.entry(key).is_none() {
            let what = format!("`{}` is missing", self.name(key));
            found.push(Finding::error(code::MISSING, self.span.clone(), what, format!("write `{key}` here")));
        }
        got
    }

    /// All of it has been read: what else stands there is unknown.
    pub fn end(self, found: &mut Vec<Finding>) {
        for entry in self.entries.iter().filter(|e| !self.known.contains(e.key.as_str())) {
            let name = self.name(&entry.key);
            let lower = entry.key.to_lowercase();
            if SECRETS.iter().any(|s| lower.contains(s)) {
                let what = format!("`{name}` holds a secret");
                let mend = code::SECRET_INSIDE.mend();
                found.push(Finding::error(code::SECRET_INSIDE, entry.key_span.clone(), what, mend));
                continue;
            }
            let mend = match like(&entry.key, self.known.iter().copied()) {
                Some(alike) => format!("did you mean `{alike}`?"),
                None => {
                    let names: Vec<&str> = self.known.iter().copied().collect();
                    format!("known here: {}", names.join(", "))
                }
            };
            let what = format!("`{name}` is not known");
            found.push(Finding::error(code::UNKNOWN_KEY, entry.key_span.clone(), what, mend));
        }
    }
}

/// A place on the network that stands at a place in the file.
pub fn place(
    name: &str,
    text: &At<String>,
    usual_port: Option<u16>,
    hosts: &Hosts,
    found: &mut Vec<Finding>,
) -> Option<At<Place>> {
    match Place::read(&text.value, usual_port, hosts) {
        Ok(place) => {
            if place.odd {
                let what = format!("`{name}` is {:?}, which is {} here", text.value, place.plain());
                found.push(Finding::error(
                    code::ODD_ADDRESS,
                    text.span.clone(),
                    what,
                    format!("write {}", place.plain()),
                ));
            }
            Some(At::new(place, text.span.clone()))
        }
        Err(e) => {
            let what = format!("`{name}` is {:?}: {e}", text.value);
            found.push(Finding::error(code::BAD_ADDRESS, text.span.clone(), what, code::BAD_ADDRESS.mend()));
            None
        }
    }
}

/// The name that is most like another.
pub fn like<'n>(name: &str, names: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
    let alike = names.into_iter().map(|n| (strsim::jaro_winkler(&name.to_lowercase(), &n.to_lowercase()), n));
    alike.filter(|(a, _)| *a >= ALIKE).max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, n)| n)
}
