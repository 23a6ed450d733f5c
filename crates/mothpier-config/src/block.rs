//! Reads typed settings out of a block of the tree, checks their types and bounds, and reports unknown keys.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::code;
use crate::endpoint::{Endpoint, Hosts};
use crate::finding::Finding;
use crate::tree::{Entry, Span, Spanned, TreeNode, Value};
use crate::units::{self, UnitError};

/// Jaro-Winkler similarity (1 means equal) from which a known name is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.75;
/// Substrings of a key that mark its value as a secret.
const SECRET_KEY_PARTS: [&str; 6] = ["password", "passwd", "secret", "token", "private_key", "api_key"];

/// A block of settings that is being read.
pub struct Block<'a> {
    /// Path of the block, such as `class.browse`; empty for the file itself.
    pub path: String,
    /// Position in the file.
    pub span: Span,
    entries: &'a [Entry],
    known: BTreeSet<&'static str>,
}

impl<'a> Block<'a> {
    /// Creates a reader for a node; reports a finding if the node is not a table.
    pub fn from_node(node: &'a TreeNode, path: &str, findings: &mut Vec<Finding>) -> Option<Block<'a>> {
        match &node.value {
            Value::Table(entries) => {
                let (path, span) = (path.to_owned(), node.span.clone());
                Some(Block { path, span, entries, known: BTreeSet::new() })
            }
            other => {
                let name = if path.is_empty() { "the file".to_owned() } else { format!("`{path}`") };
                let problem = format!("{name} is {} where a block is expected", other.kind());
                findings.push(Finding::error(
                    code::WRONG_TYPE,
                    node.span.clone(),
                    problem,
                    "write it as a block",
                ));
                None
            }
        }
    }

    /// Stands in for an absent block, so that each of its settings takes its default.
    pub fn empty(path: &str, span: Span) -> Block<'static> {
        Block { path: path.to_owned(), span, entries: &[], known: BTreeSet::new() }
    }

    /// Returns the path of a setting, such as `class.browse.aim`.
    pub fn full_name(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Returns the entry of a key, and records the key as known.
    pub fn entry(&mut self, key: &'static str) -> Option<&'a Entry> {
        self.known.insert(key);
        self.entries.iter().find(|e| e.key == key && e.node.value != Value::Null)
    }

    fn report_wrong_type(&self, entry: &Entry, wanted: &str, findings: &mut Vec<Finding>) {
        let problem = format!(
            "`{}` is {} where {wanted} is expected",
            self.full_name(&entry.key),
            entry.node.value.kind()
        );
        let fix = format!("write {wanted}");
        findings.push(Finding::error(code::WRONG_TYPE, entry.node.span.clone(), problem, fix));
    }

    /// Reads a string.
    pub fn string(&mut self, key: &'static str, findings: &mut Vec<Finding>) -> Option<Spanned<String>> {
        let entry = self.entry(key)?;
        match &entry.node.value {
            Value::Text(string) => Some(Spanned::new(string.clone(), entry.node.span.clone())),
            _ => {
                self.report_wrong_type(entry, "a string", findings);
                None
            }
        }
    }

    /// Reads an identifier of the kind that is allowed in the extras of a request (`c=NAME,t=NAME`).
    pub fn identifier(&mut self, key: &'static str, findings: &mut Vec<Finding>) -> Option<Spanned<String>> {
        let string = self.string(key, findings)?;
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        if string.value.is_empty() || string.value.len() > 64 || !string.value.bytes().all(is_allowed) {
            let problem =
                format!("`{}` is {:?}, which is not a valid name", self.full_name(key), string.value);
            findings.push(Finding::error(code::BAD_NAME, string.span.clone(), problem, code::BAD_NAME.fix()));
            return None;
        }
        Some(string)
    }

    /// Reads a boolean.
    pub fn boolean(&mut self, key: &'static str, findings: &mut Vec<Finding>) -> Option<Spanned<bool>> {
        let entry = self.entry(key)?;
        match entry.node.value {
            Value::Bool(boolean) => Some(Spanned::new(boolean, entry.node.span.clone())),
            _ => {
                self.report_wrong_type(entry, "true or false", findings);
                None
            }
        }
    }

    /// Reads a number within bounds.
    pub fn number(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<f64>,
        findings: &mut Vec<Finding>,
    ) -> Option<Spanned<f64>> {
        let entry = self.entry(key)?;
        let Value::Number(number) = entry.node.value else {
            self.report_wrong_type(entry, "a number", findings);
            return None;
        };
        if !bounds.contains(&number) {
            let problem = format!("`{}` is {number}", self.full_name(key));
            let fix = format!("use a number from {} to {}", bounds.start(), bounds.end());
            findings.push(Finding::error(code::OUT_OF_RANGE, entry.node.span.clone(), problem, fix));
            return None;
        }
        Some(Spanned::new(number, entry.node.span.clone()))
    }

    /// Reads an integer within bounds.
    pub fn integer(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<u64>,
        findings: &mut Vec<Finding>,
    ) -> Option<Spanned<u64>> {
        let number = self.number(key, *bounds.start() as f64..=*bounds.end() as f64, findings)?;
        if number.value.fract() != 0.0 {
            let problem = format!("`{}` is {}, which is not an integer", self.full_name(key), number.value);
            findings.push(Finding::error(code::WRONG_TYPE, number.span, problem, "write an integer"));
            return None;
        }
        Some(Spanned { value: number.value as u64, span: number.span, explicit: true })
    }

    /// Reads a quantity with a unit, using the given parser, formatter and example.
    fn quantity<T: PartialOrd>(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<T>,
        (read, show, example): (impl Fn(&str) -> Result<T, UnitError>, impl Fn(&T) -> String, &str),
        findings: &mut Vec<Finding>,
    ) -> Option<Spanned<T>> {
        let entry = self.entry(key)?;
        let span = entry.node.span.clone();
        let name = self.full_name(key);
        let range_fix = format!("use one from {} to {}", show(bounds.start()), show(bounds.end()));
        let string = match &entry.node.value {
            Value::Text(string) => string,
            Value::Number(n) => {
                let (problem, fix) =
                    (format!("`{name}` is {n} without a unit"), format!("write it as {example:?}"));
                findings.push(Finding::error(code::WRONG_UNIT, span, problem, fix));
                return None;
            }
            _ => {
                self.report_wrong_type(entry, &format!("a string such as {example:?}"), findings);
                return None;
            }
        };
        let rejected = match read(string) {
            Ok(value) if bounds.contains(&value) => return Some(Spanned::new(value, span)),
            Ok(_) => Finding::error(code::OUT_OF_RANGE, span, format!("`{name}` is {string:?}"), range_fix),
            Err(UnitError::Range(e)) => {
                Finding::error(code::OUT_OF_RANGE, span, format!("`{name}`: {e}"), range_fix)
            }
            Err(UnitError::Unit(e)) => Finding::error(
                code::WRONG_UNIT,
                span,
                format!("`{name}`: {e}"),
                format!("write it as {example:?}"),
            ),
        };
        findings.push(rejected);
        None
    }

    /// Reads a duration within bounds.
    pub fn duration(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<Duration>,
        findings: &mut Vec<Finding>,
    ) -> Option<Spanned<Duration>> {
        self.quantity(
            key,
            bounds,
            (units::parse_duration, |t: &Duration| units::format_duration(*t), "750ms"),
            findings,
        )
    }

    /// Reads a size in bytes within bounds.
    pub fn size(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<u64>,
        findings: &mut Vec<Finding>,
    ) -> Option<Spanned<u64>> {
        self.quantity(key, bounds, (units::parse_size, |s: &u64| units::format_size(*s), "64 MiB"), findings)
    }

    /// Reads one of a fixed set of keywords.
    pub fn keyword<T: Copy>(
        &mut self,
        key: &'static str,
        keywords: &[(&str, T)],
        findings: &mut Vec<Finding>,
    ) -> Option<Spanned<T>> {
        let string = self.string(key, findings)?;
        let known = keywords.iter().find(|(keyword, _)| *keyword == string.value);
        if known.is_none() {
            let names: Vec<&str> = keywords.iter().map(|(keyword, _)| *keyword).collect();
            let problem = format!("`{}` is {:?}", self.full_name(key), string.value);
            let fix = match closest_match(&string.value, names.iter().copied()) {
                Some(suggestion) => format!("did you mean {suggestion:?}? It is one of {}", names.join(", ")),
                None => format!("use one of {}", names.join(", ")),
            };
            findings.push(Finding::error(code::UNKNOWN_VALUE, string.span.clone(), problem, fix));
        }
        known.map(|(_, value)| Spanned::new(*value, string.span))
    }

    /// Reads a list of strings.
    pub fn strings(
        &mut self,
        key: &'static str,
        findings: &mut Vec<Finding>,
    ) -> Option<Spanned<Vec<Spanned<String>>>> {
        let entry = self.entry(key)?;
        let Value::List(nodes) = &entry.node.value else {
            self.report_wrong_type(entry, "a list of strings", findings);
            return None;
        };
        let mut strings = Vec::with_capacity(nodes.len());
        for node in nodes {
            match &node.value {
                Value::Text(string) => strings.push(Spanned::new(string.clone(), node.span.clone())),
                other => {
                    let problem = format!(
                        "`{}` holds {} where a string is expected",
                        self.full_name(key),
                        other.kind()
                    );
                    findings.push(Finding::error(
                        code::WRONG_TYPE,
                        node.span.clone(),
                        problem,
                        "write a list of strings",
                    ));
                }
            }
        }
        Some(Spanned::new(strings, entry.node.span.clone()))
    }

    /// Reads a network endpoint.
    pub fn endpoint(
        &mut self,
        key: &'static str,
        default_port: Option<u16>,
        hosts: &Hosts,
        findings: &mut Vec<Finding>,
    ) -> Option<Spanned<Endpoint>> {
        let string = self.string(key, findings)?;
        parse_endpoint(&self.full_name(key), &string, default_port, hosts, findings)
    }

    /// Reads a nested block.
    pub fn block(&mut self, key: &'static str, findings: &mut Vec<Finding>) -> Option<Block<'a>> {
        let entry = self.entry(key)?;
        let mut block = Block::from_node(&entry.node, &self.full_name(key), findings)?;
        // Findings point at the block's name rather than at its whole body.
        block.span = entry.key_span.clone();
        Some(block)
    }

    /// Reads the named blocks of one kind; reports missing and duplicate names.
    pub fn named_blocks(
        &mut self,
        key: &'static str,
        findings: &mut Vec<Finding>,
    ) -> Vec<(Spanned<String>, Block<'a>)> {
        let Some(entry) = self.entry(key) else { return Vec::new() };
        let Value::List(nodes) = &entry.node.value else {
            let fix = format!("write `{key} \"NAME\" {{ }}` in HCL, `[[{key}]]` with a `name` in TOML");
            let problem = format!(
                "`{}` is {} where named blocks are expected",
                self.full_name(key),
                entry.node.value.kind()
            );
            findings.push(Finding::error(code::WRONG_TYPE, entry.node.span.clone(), problem, fix));
            return Vec::new();
        };
        let mut named_blocks: Vec<(Spanned<String>, Block<'a>)> = Vec::new();
        for node in nodes {
            let Some(mut block) = Block::from_node(node, &self.full_name(key), findings) else { continue };
            let Some(name) = block.identifier("name", findings) else {
                if block.entry("name").is_none() {
                    let problem = format!("a `{key}` has no name");
                    findings.push(Finding::error(code::MISSING, node.span.clone(), problem, "give it one"));
                }
                continue;
            };
            if let Some((before, _)) = named_blocks.iter().find(|(b, _)| b.value == name.value) {
                let problem = format!("there are two `{key}` blocks named {:?}", name.value);
                findings.push(
                    Finding::error(code::DUPLICATE_KEY, name.span.clone(), problem, "keep the intended one")
                        .with_related(before.span.clone(), "the first one"),
                );
                continue;
            }
            block.path = format!("{}.{}", self.full_name(key), name.value);
            block.span = name.span.clone();
            named_blocks.push((name, block));
        }
        named_blocks
    }

    /// Returns a required setting unchanged, and reports it if it is missing.
    pub fn require<T>(
        &mut self,
        key: &'static str,
        setting: Option<Spanned<T>>,
        findings: &mut Vec<Finding>,
    ) -> Option<Spanned<T>> {
        // A setting that is present but invalid has been reported already.
        if setting.is_none() && self.entry(key).is_none() {
            let problem = format!("`{}` is missing", self.full_name(key));
            findings.push(Finding::error(
                code::MISSING,
                self.span.clone(),
                problem,
                format!("write `{key}` here"),
            ));
        }
        setting
    }

    /// Reports all keys that have not been read; keys that look like secrets are reported as such.
    pub fn reject_unknown_keys(self, findings: &mut Vec<Finding>) {
        for entry in self.entries.iter().filter(|e| !self.known.contains(e.key.as_str())) {
            let name = self.full_name(&entry.key);
            let lower = entry.key.to_lowercase();
            if SECRET_KEY_PARTS.iter().any(|s| lower.contains(s)) {
                let problem = format!("`{name}` holds a secret");
                let fix = code::EMBEDDED_SECRET.fix();
                findings.push(Finding::error(code::EMBEDDED_SECRET, entry.key_span.clone(), problem, fix));
                continue;
            }
            let fix = match closest_match(&entry.key, self.known.iter().copied()) {
                Some(suggestion) => format!("did you mean `{suggestion}`?"),
                None => {
                    let names: Vec<&str> = self.known.iter().copied().collect();
                    format!("known here: {}", names.join(", "))
                }
            };
            let problem = format!("`{name}` is not known");
            findings.push(Finding::error(code::UNKNOWN_KEY, entry.key_span.clone(), problem, fix));
        }
    }
}

/// Parses a network endpoint that was read from the file.
pub fn parse_endpoint(
    name: &str,
    string: &Spanned<String>,
    default_port: Option<u16>,
    hosts: &Hosts,
    findings: &mut Vec<Finding>,
) -> Option<Spanned<Endpoint>> {
    match Endpoint::parse(&string.value, default_port, hosts) {
        Ok(endpoint) => {
            if endpoint.ambiguous {
                let problem =
                    format!("`{name}` is {:?}, which is {} here", string.value, endpoint.canonical());
                findings.push(Finding::error(
                    code::AMBIGUOUS_ADDRESS,
                    string.span.clone(),
                    problem,
                    format!("write {}", endpoint.canonical()),
                ));
            }
            Some(Spanned::new(endpoint, string.span.clone()))
        }
        Err(e) => {
            let problem = format!("`{name}` is {:?}: {e}", string.value);
            findings.push(Finding::error(
                code::BAD_ADDRESS,
                string.span.clone(),
                problem,
                code::BAD_ADDRESS.fix(),
            ));
            None
        }
    }
}

/// Returns the name that is most similar to the given one, if any is similar enough.
pub fn closest_match<'n>(name: &str, names: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
    let candidates =
        names.into_iter().map(|n| (strsim::jaro_winkler(&name.to_lowercase(), &n.to_lowercase()), n));
    candidates
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, n)| n)
}
