//! The `sidecar` section of the configuration file, which binds a node to one application.

use std::path::PathBuf;

use brassrouter::OriginLimits;
use brassrouter::settings::Site;
use mothpier_net::UnixSocketSpec;
use serde::Deserialize;

use crate::binding::{Binding, Class};

/// The section as it is written in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    app: String,
    tenant: String,
    #[serde(default)]
    upstream: Upstream,
    classes: Vec<ClassSection>,
    unix: Option<UnixSection>,
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
struct ClassSection {
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
struct UnixSection {
    path: PathBuf,
    mode: u32,
    owner: Option<u32>,
    group: Option<u32>,
}

/// The parts of the section that the node uses at run time.
#[derive(Clone)]
pub struct Sidecar {
    /// The tenant and classes that the application may use.
    pub binding: Binding,
    /// The most client connections.
    pub connections: Option<usize>,
    /// Whether requests go to the nodes of the shared tier instead of to cache servers.
    pub tier: bool,
    /// Cache servers that are used whether or not the server list contains them.
    pub pool: Vec<String>,
}

impl Section {
    /// Returns the Unix domain socket on which the application connects, if it uses one.
    pub fn unix(&self) -> Option<UnixSocketSpec> {
        self.unix.as_ref().map(|unix| UnixSocketSpec {
            path: unix.path.clone(),
            mode: unix.mode,
            owner: unix.owner,
            group: unix.group,
        })
    }

    /// Applies the section's limits to the policy settings in `site` and returns the rest of the section.
    ///
    /// # Errors
    ///
    /// A message that names a class or tenant which the settings lack.
    pub fn apply(self, site: &mut Site) -> Result<Sidecar, String> {
        if !site.tenants.is_empty() && !site.tenants.contains(&self.tenant) {
            return Err(format!("sidecar.tenant: {:?} is not a tenant of the settings", self.tenant));
        }
        let mut classes = Vec::with_capacity(self.classes.len());
        for class in self.classes {
            if !site.classes.contains(&class.name) {
                return Err(format!("sidecar.classes: {:?} is not a class of the settings", class.name));
            }
            classes.push(Class {
                name: class.name,
                write: class.command == Command::Write,
                default: class.default,
            });
        }
        let tier = self.upstream == Upstream::Tier;
        let settings = &mut site.policy;
        if self.origin_outstanding.is_some() || self.origin_per_s.is_some() {
            settings.origin_limits = Some(OriginLimits {
                max_outstanding: self.origin_outstanding.unwrap_or(f64::from(u32::MAX)),
                max_calls_per_s: self.origin_per_s.unwrap_or(f64::INFINITY),
            });
        }
        settings.cold_rate_multiple = self.cold_sends_at.unwrap_or(settings.cold_rate_multiple);
        // The tier retries by itself; the sidecar repeats only requests that were never executed.
        settings.retry_budget_per_request =
            if tier { 0.0 } else { self.retry_budget.unwrap_or(settings.retry_budget_per_request) };
        Ok(Sidecar {
            binding: Binding { app: self.app, tenant: self.tenant, classes, tier },
            connections: self.connections,
            tier,
            pool: self.pool,
        })
    }
}
