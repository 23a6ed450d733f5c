//! The file that tells where the coordinators are: HCL, named by `MOTHPIER_COORDINATION`.

use std::net::SocketAddr;
use std::time::Duration;

use hcl_edit::expr::Expression;
use hcl_edit::structure::{Block, Body, Structure};

/// How long the fleet's agreement knows a node that it does not hear of.
const TTL: Duration = Duration::from_secs(3);
const TTL_BOUNDS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(60));
/// A node that starts and reaches no coordinators serves after this time, careful.
const START_ALONE: Duration = Duration::from_secs(10);

/// Where the coordinators are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Coordination {
    /// The fleet's name.
    pub cluster: String,
    /// Their addresses, in the order of their numbers.
    pub coordinators: Vec<SocketAddr>,
    /// The node takes part in the fleet's agreement on drains.
    pub fleet: Option<Fleet>,
}

/// How a node takes part in the fleet's agreement on drains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Its zone, for limits by zone.
    pub zone: String,
    /// Its session's time.
    pub ttl: Duration,
    /// Without coordinators it says that it is ready after this time.
    pub start_alone: Duration,
}

fn fleet(block: &Block) -> Result<Fleet, String> {
    let mut fleet = Fleet { zone: String::new(), ttl: TTL, start_alone: START_ALONE };
    for part in &block.body {
        let Structure::Attribute(attribute) = part else {
            return Err("fleet: blocks have no meaning".into());
        };
        let name = attribute.key.as_str();
        let Expression::String(text) = &attribute.value else {
            return Err(format!("fleet.{name}: a text is wanted"));
        };
        let text = text.value();
        let time = || text.parse().map(|t: humantime::Duration| *t).map_err(|e| format!("fleet.{name}: {e}"));
        match name {
            "zone" => fleet.zone = text.clone(),
            "ttl" => fleet.ttl = time()?,
            "start_alone" => fleet.start_alone = time()?,
            other => return Err(format!("fleet.{other}: not known here")),
        }
    }
    if !(TTL_BOUNDS.0..=TTL_BOUNDS.1).contains(&fleet.ttl) {
        return Err("fleet.ttl: it lies between 500ms and 60s".into());
    }
    if !(fleet.zone.is_empty() || mothpier_coordination::limits::is_name(&fleet.zone)) {
        return Err("fleet.zone: letters, digits and -_.:@/ are wanted".into());
    }
    Ok(fleet)
}

/// Reads the file.
///
/// # Errors
///
/// One plain line that names what is missing or unreadable.
pub fn parse(text: &[u8]) -> Result<Coordination, String> {
    let text = std::str::from_utf8(text).map_err(|e| format!("unreadable: {e}"))?;
    let body: Body = text.parse().map_err(|e| format!("unreadable: {e}"))?;
    let (mut cluster, mut coordinators, mut of_fleet) = (None, None, None);
    for part in &body {
        let attribute = match part {
            Structure::Attribute(attribute) => attribute,
            Structure::Block(block) if block.ident.as_str() == "fleet" && of_fleet.is_none() => {
                of_fleet = Some(fleet(block)?);
                continue;
            }
            Structure::Block(block) => {
                return Err(format!("{}: no such block, or twice", block.ident.as_str()));
            }
        };
        match (attribute.key.as_str(), &attribute.value) {
            ("cluster", Expression::String(name)) => cluster = Some(name.value().clone()),
            ("cluster", _) => return Err("cluster: a text is wanted".into()),
            ("coordinators", Expression::Array(all)) => {
                let one = |e: &Expression| match e {
                    Expression::String(s) => {
                        s.value().parse().map_err(|_| format!("coordinators: {:?} is no address", s.value()))
                    }
                    _ => Err("coordinators: texts are wanted, as \"10.0.0.1:7100\"".to_owned()),
                };
                coordinators = Some(all.iter().map(one).collect::<Result<Vec<SocketAddr>, _>>()?);
            }
            ("coordinators", _) => return Err("coordinators: a list is wanted".into()),
            (other, _) => return Err(format!("{other}: not known here")),
        }
    }
    let cluster = cluster.ok_or("cluster: missing")?;
    let coordinators = coordinators.filter(|c| !c.is_empty()).ok_or("coordinators: missing")?;
    Ok(Coordination { cluster, coordinators, fleet: of_fleet })
}

#[cfg(test)]
mod tests;
