//! The HCL file named by `MOTHPIER_COORDINATION`, which lists the coordinators.

use std::net::SocketAddr;
use std::time::Duration;

use hcl_edit::expr::Expression;
use hcl_edit::structure::{Block, Body, Structure};

/// How long the coordinators keep the session of a node that they no longer hear from.
const DEFAULT_TTL: Duration = Duration::from_secs(3);
const MIN_TTL: Duration = Duration::from_millis(500);
const MAX_TTL: Duration = Duration::from_secs(60);
/// How long a starting node waits for the coordinators before it serves without them.
const DEFAULT_START_ALONE: Duration = Duration::from_secs(10);

/// The coordinators, and the node's part in fleet-wide drains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Coordination {
    /// The fleet's name.
    pub cluster: String,
    /// The coordinators' addresses, in the order of their numbers.
    pub coordinators: Vec<SocketAddr>,
    /// Set if the node takes part in fleet-wide drains.
    pub fleet: Option<FleetConfig>,
}

/// How a node takes part in fleet-wide drains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// The node's zone, for the limits on drains per zone.
    pub zone: String,
    /// The time to live of the node's session.
    pub ttl: Duration,
    /// How long a starting node that cannot reach the coordinators waits before it reports ready.
    pub start_alone: Duration,
}

fn parse_fleet(block: &Block) -> Result<FleetConfig, String> {
    let mut fleet = FleetConfig { zone: String::new(), ttl: DEFAULT_TTL, start_alone: DEFAULT_START_ALONE };
    for item in &block.body {
        let Structure::Attribute(attribute) = item else {
            return Err("fleet: nested blocks are not allowed".into());
        };
        let name = attribute.key.as_str();
        let Expression::String(text) = &attribute.value else {
            return Err(format!("fleet.{name}: expected a string"));
        };
        let text = text.value();
        let time = || text.parse().map(|t: humantime::Duration| *t).map_err(|e| format!("fleet.{name}: {e}"));
        match name {
            "zone" => fleet.zone = text.clone(),
            "ttl" => fleet.ttl = time()?,
            "start_alone" => fleet.start_alone = time()?,
            other => return Err(format!("fleet.{other}: unknown key")),
        }
    }
    if !(MIN_TTL..=MAX_TTL).contains(&fleet.ttl) {
        return Err("fleet.ttl: must be between 500ms and 60s".into());
    }
    if !(fleet.zone.is_empty() || mothpier_coordination::limits::is_name(&fleet.zone)) {
        return Err("fleet.zone: may contain only letters, digits and -_.:@/".into());
    }
    Ok(fleet)
}

/// Parses the text of the file.
///
/// # Errors
///
/// A one-line message that names what is missing or invalid.
pub fn parse(text: &[u8]) -> Result<Coordination, String> {
    let text = std::str::from_utf8(text).map_err(|e| format!("unreadable: {e}"))?;
    let body: Body = text.parse().map_err(|e| format!("unreadable: {e}"))?;
    let (mut cluster, mut coordinators, mut fleet_config) = (None, None, None);
    for item in &body {
        let attribute = match item {
            Structure::Attribute(attribute) => attribute,
            Structure::Block(block) if block.ident.as_str() == "fleet" && fleet_config.is_none() => {
                fleet_config = Some(parse_fleet(block)?);
                continue;
            }
            Structure::Block(block) => {
                return Err(format!("{}: unknown or duplicate block", block.ident.as_str()));
            }
        };
        match (attribute.key.as_str(), &attribute.value) {
            ("cluster", Expression::String(name)) => cluster = Some(name.value().clone()),
            ("cluster", _) => return Err("cluster: expected a string".into()),
            ("coordinators", Expression::Array(all)) => {
                let address = |e: &Expression| match e {
                    Expression::String(s) => s
                        .value()
                        .parse()
                        .map_err(|_| format!("coordinators: {:?} is not an address", s.value())),
                    _ => Err("coordinators: expected strings such as \"10.0.0.1:7100\"".to_owned()),
                };
                coordinators = Some(all.iter().map(address).collect::<Result<Vec<SocketAddr>, _>>()?);
            }
            ("coordinators", _) => return Err("coordinators: expected a list".into()),
            (other, _) => return Err(format!("{other}: unknown key")),
        }
    }
    let cluster = cluster.ok_or("cluster: missing")?;
    let coordinators = coordinators.filter(|c| !c.is_empty()).ok_or("coordinators: missing")?;
    Ok(Coordination { cluster, coordinators, fleet: fleet_config })
}

#[cfg(test)]
mod tests;
