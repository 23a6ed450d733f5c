//! The file in which staff state how much of a fleet may be out: HCL.

use std::path::Path;

use hcl_edit::expr::Expression;
use hcl_edit::structure::{Block, Body, Structure};
use mothpier_coordination::fleet::limits::{Bound, Limits};

/// What a block states, by name; what it leaves out is not stated.
struct Stated<'a> {
    block: &'a str,
    numbers: Vec<(String, u32)>,
    times: Vec<(String, u64)>,
}

impl<'a> Stated<'a> {
    fn read(block: &'a Block) -> Result<Self, String> {
        let name = block.ident.as_str();
        let mut stated = Stated { block: name, numbers: Vec::new(), times: Vec::new() };
        for part in &block.body {
            let Structure::Attribute(attribute) = part else {
                return Err(format!("{name}: blocks have no meaning in it"));
            };
            let key = attribute.key.as_str().to_owned();
            match &attribute.value {
                Expression::Number(n) => {
                    let whole = n.value().as_u64().and_then(|n| u32::try_from(n).ok());
                    stated
                        .numbers
                        .push((key.clone(), whole.ok_or(format!("{name}.{key}: a whole number is wanted"))?));
                }
                Expression::String(s) => {
                    let time: humantime::Duration =
                        s.value().parse().map_err(|e| format!("{name}.{key}: {e}"))?;
                    stated.times.push((key, time.as_millis() as u64));
                }
                _ => return Err(format!("{name}.{key}: a number, or a time as \"60s\", is wanted")),
            }
        }
        Ok(stated)
    }

    fn number(&mut self, key: &str) -> Option<u32> {
        let at = self.numbers.iter().position(|(k, _)| k == key)?;
        Some(self.numbers.swap_remove(at).1)
    }

    fn time(&mut self, key: &str) -> Option<u64> {
        let at = self.times.iter().position(|(k, _)| k == key)?;
        Some(self.times.swap_remove(at).1)
    }

    fn bound(&mut self) -> Result<Bound, String> {
        Ok(Bound {
            out_most: self.number("out_most").ok_or(format!("{}.out_most: missing", self.block))?,
            out_percent: self.number("out_percent"),
            zone_out_most: self.number("zone_out_most"),
            ready_fewest: self.number("ready_fewest").unwrap_or(0),
            zone_ready_fewest: self.number("zone_ready_fewest").unwrap_or(0),
        })
    }

    /// What nobody asked for is not known.
    fn done(self) -> Result<(), String> {
        let numbers = self.numbers.into_iter().map(|(key, _)| key);
        match numbers.chain(self.times.into_iter().map(|(key, _)| key)).next() {
            Some(key) => {
                Err(format!("{}.{key}: not known here, or a number where a time is wanted", self.block))
            }
            None => Ok(()),
        }
    }
}

/// Reads limits.
///
/// # Errors
///
/// One line that names what is wrong.
pub fn parse(text: &str) -> Result<Limits, String> {
    let body: Body = text.parse().map_err(|e| format!("unreadable: {e}"))?;
    let (mut nodes, mut servers) = (None, None);
    let mut limits = Limits::default();
    for part in &body {
        let Structure::Block(block) = part else {
            return Err("only the blocks nodes, servers and halt have a meaning here".into());
        };
        let mut stated = Stated::read(block)?;
        match block.ident.as_str() {
            "nodes" if nodes.is_none() => nodes = Some(stated.bound()?),
            "servers" if servers.is_none() => {
                servers = Some(stated.bound()?);
                limits.cold_most = stated.number("cold_most").ok_or("servers.cold_most: missing")?;
                limits.cold_ms = stated.time("cold_for").ok_or("servers.cold_for: missing")?;
            }
            "halt" => {
                limits.refused_percent = stated.number("refused_percent");
                limits.calm_ms = stated.time("calm");
            }
            other => return Err(format!("{other}: not known here, or twice")),
        }
        stated.done()?;
    }
    limits.nodes = nodes.ok_or("nodes: missing")?;
    limits.servers = servers.ok_or("servers: missing")?;
    limits.first_problem().map_or(Ok(limits), Err)
}

/// Reads a file of limits.
///
/// # Errors
///
/// The file and what is wrong.
pub fn read(file: &Path) -> Result<Limits, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    parse(&text).map_err(|e| format!("{}: {e}", file.display()))
}

/// Limits as such a file has them.
pub fn text(limits: &Limits) -> String {
    let bound = |b: &Bound| {
        let mut text = format!("  out_most          = {}\n", b.out_most);
        if let Some(percent) = b.out_percent {
            text += &format!("  out_percent       = {percent}\n");
        }
        if let Some(most) = b.zone_out_most {
            text += &format!("  zone_out_most     = {most}\n");
        }
        text += &format!("  ready_fewest      = {}\n", b.ready_fewest);
        text + &format!("  zone_ready_fewest = {}\n", b.zone_ready_fewest)
    };
    let time = |ms| humantime::format_duration(std::time::Duration::from_millis(ms)).to_string();
    let mut text = format!("nodes {{\n{}}}\n", bound(&limits.nodes));
    text += &format!("servers {{\n{}", bound(&limits.servers));
    text += &format!("  cold_most         = {}\n", limits.cold_most);
    text += &format!("  cold_for          = {:?}\n}}\n", time(limits.cold_ms));
    text += "halt {\n";
    if let Some(percent) = limits.refused_percent {
        text += &format!("  refused_percent   = {percent}\n");
    }
    if let Some(ms) = limits.calm_ms {
        text += &format!("  calm              = {:?}\n", time(ms));
    }
    text + "}\n"
}

#[cfg(test)]
mod tests;
