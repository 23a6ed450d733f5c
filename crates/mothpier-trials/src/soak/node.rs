//! A node of the soak: its process, its configuration and the clients before it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use mothpier_fault_control::{FaultControl, Setting};
use mothpier_world::loopback;

use super::clients::NodeClients;
use super::ledger::Ledger;
use super::plan::Plan;
use crate::process::Process;
use crate::programs::{address, write};

/// The place of the discovery address in the text of a configuration.
const DISCOVERY_PLACEHOLDER: &str = "ENTRY";

/// Where a node's programs and files are.
pub(super) struct Paths<'a> {
    pub(super) programs: &'a Path,
    pub(super) folder: &'a Path,
}

/// A node of the soak.
pub(super) struct Node {
    pub(super) number: usize,
    pub(super) process: Process,
    pub(super) control: FaultControl,
    pub(super) clients: Rc<NodeClients>,
    /// The configuration file, and its text with a placeholder for the discovery address.
    pub(super) file: PathBuf,
    pub(super) text: String,
    /// The two addresses of discovery that the configuration may name.
    entries: [SocketAddr; 2],
    /// It is being killed or ended and started again: once at a time.
    pub(super) restarts: Cell<bool>,
}

impl Node {
    /// Prepares a node that is not started yet.
    ///
    /// # Errors
    ///
    /// Fails if its files cannot be written.
    pub(super) fn prepare(
        number: usize,
        plan: &Plan,
        (lane, plant): (u8, Option<&str>),
        paths: &Paths<'_>,
        entries: [SocketAddr; 2],
        ledger: &Rc<RefCell<Ledger>>,
    ) -> Result<Node, String> {
        let (front, admin) = (address(lane, 70 + number as u8), address(lane, 40 + number as u8));
        let name = format!("node-{number}");
        let in_folder = |extension: &str| paths.folder.join(format!("{name}.{extension}"));
        let control = FaultControl::create(&in_folder("faults")).map_err(|e| e.to_string())?;
        let file = in_folder("json");
        let settings = plan.settings().replace(r#""me":0"#, &format!(r#""me":{number}"#));
        let text = loopback::config(&name, entries[0], plan.descriptors())
            .replace(loopback::SETTINGS, &settings)
            .replace(&entries[0].to_string(), DISCOVERY_PLACEHOLDER);
        let mut environment = vec![
            ("ROUTER_CONFIG".to_owned(), file.display().to_string()),
            ("ROUTER_LISTEN".to_owned(), front.to_string()),
            ("ROUTER_OPERATOR".to_owned(), admin.to_string()),
            ("MOTHPIER_EVENTS".to_owned(), "text".to_owned()),
        ];
        environment.extend(control.environment(paths.programs));
        environment.extend(plant.map(|name| ("MOTHPIER_PLANT".to_owned(), name.to_owned())));
        let program = paths.programs.join("mothpier");
        let process = Process::new(program, Vec::new(), environment, in_folder("log"));
        let clients = Rc::new(NodeClients {
            node: number,
            at: front,
            brief_ms: plan.brief_ms,
            pipeline: plan.pipeline,
            crowded: plan.crowd > 0,
            ledger: ledger.clone(),
            departing: Cell::new(false),
            quiet: Cell::new(false),
            over: Cell::new(false),
        });
        let node =
            Node { number, process, control, clients, file, text, entries, restarts: Cell::new(false) };
        node.set(Setting::Seed, (plan.seed * 100 + number as u64) as i64);
        node.name_entry(0)?;
        Ok(node)
    }

    /// Writes a configuration that names one of the two addresses of discovery.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub(super) fn name_entry(&self, entry: usize) -> Result<(), String> {
        write(&self.file, &self.text.replace(DISCOVERY_PLACEHOLDER, &self.entries[entry].to_string()))
    }

    /// Changes a setting of the fault injection.
    pub(super) fn set(&self, setting: Setting, value: i64) {
        let _ = self.control.set(setting, value);
    }
}
