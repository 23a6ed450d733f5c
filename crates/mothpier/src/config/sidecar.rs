//! What binds a node to one application: the `sidecar` section of its file.

use std::path::PathBuf;

use brassrouter::Shares;
use brassrouter::settings::Site;
use mothpier_net::UnixSocketSpec;
use serde::Deserialize;

use crate::binding::{Binding, Class};

/// The section.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    app: String,
    tenant: String,
    #[serde(default)]
    upstream: Upstream,
    classes: Vec<ClassLine>,
    unix: Option<Unix>,
    connections: Option<usize>,
    origin_outstanding: Option<f64>,
    origin_per_s: Option<f64>,
    cold_sends_at: Option<f64>,
    retry_budget: Option<f64>,
    #[serde(default)]
    pool: Vec<String>,
}

#[derive(Clone, Copy, Default, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Upstream {
    #[default]
    Boxes,
    Tier,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassLine {
    name: String,
    command: Command,
    #[serde(default)]
    default: bool,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Command {
    Read,
    Write,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Unix {
    path: PathBuf,
    mode: u32,
    owner: Option<u32>,
    group: Option<u32>,
}

/// What the rest of the node makes of it.
#[derive(Clone)]
pub struct Sidecar {
    /// Who may ask for what.
    pub binding: Binding,
    /// Client connections at the most.
    pub connections: Option<usize>,
    /// Requests go to nodes of the shared tier.
    pub tier: bool,
    /// Boxes that are used whatever the list says.
    pub pool: Vec<String>,
}

impl Section {
    /// Where the application connects, if in the file system.
    pub fn unix(&self) -> Option<UnixSocketSpec> {
        self.unix.as_ref().map(|u| UnixSocketSpec {
            path: u.path.clone(),
            mode: u.mode,
            owner: u.owner,
            group: u.group,
        })
    }

    /// Takes over what the module is to know, and gives what the rest of the node is.
    ///
    /// # Errors
    ///
    /// A class or tenant that the settings do not have.
    pub fn take(self, site: &mut Site) -> Result<Sidecar, String> {
        if !site.tenants.is_empty() && !site.tenants.contains(&self.tenant) {
            return Err(format!("sidecar.tenant: {:?} is none of the settings' tenants", self.tenant));
        }
        let mut classes = Vec::with_capacity(self.classes.len());
        for c in self.classes {
            if !site.classes.contains(&c.name) {
                return Err(format!("sidecar.classes: {:?} is none of the settings' classes", c.name));
            }
            classes.push(Class { name: c.name, write: c.command == Command::Write, default: c.default });
        }
        let tier = self.upstream == Upstream::Tier;
        let decisions = &mut site.policy;
        if self.origin_outstanding.is_some() || self.origin_per_s.is_some() {
            decisions.shares = Some(Shares {
                origin_out: self.origin_outstanding.unwrap_or(f64::from(u32::MAX)),
                origin_per_s: self.origin_per_s.unwrap_or(f64::INFINITY),
            });
        }
        decisions.cold_rate = self.cold_sends_at.unwrap_or(decisions.cold_rate);
        // The tier tries again by itself: here only what never ran is.
        decisions.retry_budget = if tier { 0.0 } else { self.retry_budget.unwrap_or(decisions.retry_budget) };
        Ok(Sidecar {
            binding: Binding { app: self.app, tenant: self.tenant, classes, tier },
            connections: self.connections,
            tier,
            pool: self.pool,
        })
    }
}
