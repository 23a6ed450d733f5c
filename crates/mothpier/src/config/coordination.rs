//! The file that tells where the coordinators are: HCL, named by `MOTHPIER_COORDINATION`.

use std::net::SocketAddr;

use hcl_edit::expr::Expression;
use hcl_edit::structure::{Body, Structure};

/// Where the coordinators are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Coordination {
    /// The fleet's name.
    pub cluster: String,
    /// Their addresses, in the order of their numbers.
    pub coordinators: Vec<SocketAddr>,
}

/// Reads the file.
///
/// # Errors
///
/// One plain line that names what is missing or unreadable.
pub fn parse(text: &[u8]) -> Result<Coordination, String> {
    let text = std::str::from_utf8(text).map_err(|e| format!("unreadable: {e}"))?;
    let body: Body = text.parse().map_err(|e| format!("unreadable: {e}"))?;
    let (mut cluster, mut coordinators) = (None, None);
    for part in &body {
        let Structure::Attribute(attribute) = part else { return Err("blocks have no meaning here".into()) };
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
    Ok(Coordination { cluster, coordinators })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_is_read_whole_or_refused_by_name() {
        let good = "cluster = \"manila\"\ncoordinators = [\"10.0.0.1:7100\", \"10.0.0.2:7100\"]";
        let read = parse(good.as_bytes()).unwrap();
        assert_eq!((read.cluster.as_str(), read.coordinators.len()), ("manila", 2));
        for (text, error) in [
            ("cluster = \"m\"", "coordinators: missing"),
            ("coordinators = [\"10.0.0.1:7100\"]", "cluster: missing"),
            ("coordinators = [\"here\"]", "\"here\" is no address"),
            ("coordinators = [7100]", "texts are wanted"),
            ("cluster = 7", "a text is wanted"),
            ("colour = 7", "colour: not known here"),
            ("cluster", "unreadable"),
        ] {
            let said = parse(text.as_bytes()).unwrap_err();
            assert!(said.contains(error), "{text}: {said}");
        }
    }
}
