//! The configuration files of the simulated nodes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use mothpier::config;
use mothpier_membership::dns_servers::ShrinkGuard;
use mothpier_membership::{ServerTemplate, Settings, gossip};

use super::world::{BoxState, CLASSES, World, address};
use crate::oracle::Care;
use crate::plan::{Beside, Boxes};

/// Where a sidecar's file says that it listens.
const HERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 6379);

impl World {
    /// The text of the configuration file of a node.
    pub(super) fn config(&self, i: usize) -> String {
        let nodes = self.nodes.borrow();
        let node = &nodes[i];
        let classes: Vec<String> = CLASSES
            .iter()
            .map(|(name, care, aim, deadline, worth)| {
                let effect = match care {
                    Care::Safe => "pure",
                    Care::Keyed => "token",
                    Care::Unsafe => "side_effect",
                };
                format!(
                    r#"{{"name":"{name}","goalTimeUs":{},"deadlineUs":{},"gain":{worth},"lateValue":0.0,"effect":"{effect}","dedupScope":"all","dedupWindowUs":3000000}}"#,
                    aim * 1000,
                    deadline * 1000
                )
            })
            .collect();
        let peers: Vec<String> =
            (0..nodes.len()).map(|n| format!("\"{}\"", address(0, 0, n, 7946))).collect();
        let known: Vec<String> = self
            .known()
            .iter()
            .map(|(id, at)| {
                let kind = if id.starts_with('o') { "origin" } else { "m" };
                format!(r#"{{"id":"{id}","host_port":"{at}","locality":"a","flavor":"{kind}","cell":0,"phase":"ready","size":1.0,"up_since_ms":0}}"#)
            })
            .collect();
        format!(
            r#"{{"name":"node{i}","listen":"{}","discovery":"{}","seed":"{:x}","limits":{{"memory_mb":64,"sockets":512}},
            "peer_listen":"{}","peers":[{}],"known":{{"revision":0,"complete":true,"members":[{}]}},
            "settings":{{"balancers":{},"me":{i},"classes":[{}],"realms":[{{"name":"acme","quotaPerS":{}}}],
            "discovery":"push","zones":["a"],"machineTypes":["m","origin"],
            "specifics":{{"mode":"{}","originKind":1}},"report":{{"fields":["lat_ms","busy"]}},
            "limits":{{"maxAttempts":3,"mayDuplicate":{},"mayCancel":true,"multiplex":{},"idleCloseUs":{},
            "connectTimeoutUs":{},"maxOpen":1000,"maxRetryAfterUs":600000,"peers":{}}},
            "guarantees":{{"coldUs":{},"coldShare":{},"drainGraceUs":500000,"fallMultiple":3.0,"tipAfterUs":2000000}},
            "periodUs":5000}}{}}}"#,
            if self.settings.shares.is_some() { HERE } else { node.address },
            address(3, node.agent as u8, i, 8500),
            self.settings.seed ^ (u64::from(node.starts) << 32 | i as u64),
            address(0, 0, i, 7946),
            peers.join(","),
            known.join(","),
            nodes.len(),
            classes.join(","),
            self.settings.rate.max(10.0) * 2.0,
            if self.settings.boxes == Boxes::Through { "through" } else { "aside" },
            self.settings.duplicate,
            self.settings.multiplex,
            self.settings.idle.as_micros(),
            // A sidecar's file with time-outs beyond its deadlines does not start.
            self.settings.connect_ms.min(if self.settings.shares.is_some() { 200 } else { u64::MAX }) * 1000,
            self.settings.peers,
            self.settings.warm.1.as_micros(),
            self.settings.warm.0,
            self.sidecar(),
        )
    }

    /// The section that makes a node a sidecar.
    fn sidecar(&self) -> String {
        let Some((outstanding, per_s)) = self.settings.shares else { return String::new() };
        let classes = CLASSES.map(|(name, care, ..)| {
            let command = if care == Care::Safe { "read" } else { "write" };
            format!(r#"{{"name":"{name}","command":"{command}","default":{}}}"#, care == Care::Safe)
        });
        format!(
            r#","sidecar":{{"app":"app","tenant":"acme","classes":[{}],"origin_outstanding":{outstanding},"origin_per_s":{per_s}}}"#,
            classes.join(",")
        )
    }

    /// The list as the platform hands it to a node that starts: what is at work now.
    pub(super) fn known(&self) -> Vec<(String, SocketAddr)> {
        let ready = |b: &&BoxState| b.down_by.is_none() && !b.draining && b.listed;
        let mut known: Vec<_> =
            self.boxes.borrow().iter().filter(ready).map(|b| (b.id.clone(), b.address)).collect();
        if self.settings.boxes != Boxes::Through {
            known.push(("o-1".into(), self.origin_address));
        }
        known
    }

    /// The further sources of boxes that a node has.
    pub(super) fn sources(&self) -> Option<config::sources::Sources> {
        let beside = self.settings.beside;
        // Where a measurement looks at the view there is one, be it of the list alone.
        if beside == Beside::Nothing && self.settings.newcomer_ms.is_none() {
            return None;
        }
        let rumours = gossip::Settings { trust_ms: 20_000, ..gossip::Settings::default() };
        let membership = Settings {
            tombstone_ms: 60_000,
            shrink_guard: ShrinkGuard { hold_ms: 3_000, ..ShrinkGuard::default() },
            gossip: beside.rumours().then_some(rumours),
            template: ServerTemplate { locality: "a".into(), flavor: "m".into(), cell: 0 },
            origin: Some("origin".into()),
            fixed: Vec::new(),
        };
        let nodes = self.nodes.borrow().len();
        let dns = self.names.as_ref().map(|names| names.settings(nodes));
        Some(config::sources::Sources { membership, dns })
    }
}
