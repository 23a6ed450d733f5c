//! The platform that starts the processes of a node.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Stdio};

use mothpier_world::loopback::*;

/// Stands in for the platform: holds the clients' listener and the state directory, and starts processes of
/// one node.
pub struct Platform {
    pub listener: TcpListener,
    pub directory: PathBuf,
    name: &'static str,
}

impl Platform {
    pub fn new(name: &'static str) -> Self {
        let directory = config_path(name).with_extension("tmp");
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).unwrap();
        Platform { listener: TcpListener::bind("127.0.0.1:0").unwrap(), directory, name }
    }

    pub fn command(&self, discovery: SocketAddr) -> Command {
        let mut command = node_command(self.name, discovery, 256, "exec 7<&0 0</dev/null;");
        command.stdin(Stdio::from(std::os::fd::OwnedFd::from(self.listener.try_clone().unwrap())));
        command
            .env("ROUTER_ACCEPT_FD", "7")
            .env("ROUTER_OPERATOR", "127.0.0.1:0")
            .env("TMPDIR", &self.directory);
        command
    }

    /// Starts a process and waits until it reports ready.
    pub fn start(&self, discovery: &Discovery) -> Node {
        let node = Node::spawn(self.command(discovery.address));
        while node.call("GET", "/api/ready", "").0 != 200 {}
        node
    }

    pub fn client(&self) -> Client {
        Client::connect(self.listener.local_addr().unwrap())
    }
}
