//! A process of a trial: started, stopped, gone on, killed and started again, with its log.

use std::cell::RefCell;
use std::ffi::OsString;
use std::fs::{File, OpenOptions};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process, set_parent_process_death_signal};
use tokio::process::{Child, Command};

/// A process, and how it is started.
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>,
    environment: Vec<(String, String)>,
    /// All its lives write here.
    pub log: PathBuf,
    child: RefCell<Option<Child>>,
}

impl Process {
    /// One that is not started yet.
    pub fn new(
        program: PathBuf,
        arguments: Vec<String>,
        environment: Vec<(String, String)>,
        log: PathBuf,
    ) -> Self {
        Process { program, arguments, environment, log, child: RefCell::default() }
    }

    /// Starts it, unless it runs: two faults may each have killed it and each mean to start it again.
    ///
    /// # Errors
    ///
    /// It can't be.
    pub fn start(&self) -> Result<(), String> {
        if self.child.borrow_mut().as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None))) {
            return Ok(());
        }
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|e| format!("{}: {e}", self.log.display()))?;
        // By way of this program: what it becomes ends when the trial does, however that ends.
        let own = std::env::current_exe().map_err(|e| e.to_string())?;
        let child = Command::new(own)
            .args(["bound", "--"])
            .arg(&self.program)
            .args(&self.arguments)
            .envs(self.environment.iter().cloned())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.display()))?;
        *self.child.borrow_mut() = Some(child);
        Ok(())
    }

    /// Sends it a signal; nothing where it does not run.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.borrow().as_ref().and_then(Child::id);
        if let Some(pid) = id.and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it, and waits until it is gone: its address and its files are free then.
    pub async fn kill(&self) {
        let child = self.child.borrow_mut().take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Becomes a program that is killed when the thread that started it is gone; gives why it could not.
    pub fn become_bound(command: &[OsString]) -> String {
        if let Err(e) = set_parent_process_death_signal(Some(Signal::KILL)) {
            return e.to_string();
        }
        let Some((program, arguments)) = command.split_first() else { return "no program".into() };
        let error = std::process::Command::new(program).args(arguments).exec();
        format!("{}: {error}", program.display())
    }

    /// A variable of its environment.
    pub fn environment_of(&self, name: &str) -> Option<String> {
        self.environment.iter().find(|(n, _)| n == name).map(|(_, value)| value.clone())
    }

    /// Its number while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.borrow().as_ref().and_then(Child::id)
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&self) -> bool {
        self.child.borrow_mut().as_mut().is_some_and(|c| !matches!(c.try_wait(), Ok(None)))
    }

    /// What all its lives have logged.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}
