//! Processes of a run: each is this same program under a hidden command. They are ended, by their own handles only, when
//! the coordinator drops them.

use super::control::{Command, Event};
use anyhow::{Context, Result};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Stdio};
use std::sync::mpsc::Sender;
use std::thread;

/// The hidden command under which a process is started.
pub const NODE_COMMAND: &str = "propagation-node";

/// Which process of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NodeId {
    /// The publisher.
    Publisher,
    /// A relay by index.
    Relay(usize),
    /// The subscribers of a zone.
    Subscribers(usize),
    /// The proxy of a region.
    Proxy(usize),
}

/// What came from a process.
#[derive(Debug)]
pub struct Report {
    /// From which.
    pub node: NodeId,
    /// Which of its lives.
    pub life: u32,
    /// What; none once its output has ended.
    pub event: Option<Event>,
}

/// A running process.
pub struct NodeProcess {
    child: Child,
    input: ChildStdin,
}

impl NodeProcess {
    /// Starts a process and gives it its setup. Its events go to `reports`.
    ///
    /// # Errors
    /// If there can be no such process.
    pub fn start(node: NodeId, life: u32, setup: &Command, reports: Sender<Report>) -> Result<NodeProcess> {
        let program = std::env::current_exe().context("this program's own path")?;
        let mut child = std::process::Command::new(program)
            .arg(NODE_COMMAND)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("starting {node:?}"))?;
        let input = child.stdin.take().context("its input")?;
        let output = child.stdout.take().context("its output")?;
        let mut process = NodeProcess { child, input };
        thread::spawn(move || read_events(node, life, BufReader::new(output), &reports));
        process.send(setup)?;
        Ok(process)
    }

    /// Sends a command.
    ///
    /// # Errors
    /// If the process no longer reads.
    pub fn send(&mut self, command: &Command) -> Result<()> {
        let mut line = serde_json::to_vec(command)?;
        line.push(b'\n');
        self.input.write_all(&line).context("a process does not read its commands")?;
        Ok(())
    }

    /// Stops it where it is (SIGSTOP).
    ///
    /// # Errors
    /// If it is no longer there.
    pub fn pause(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on (SIGCONT).
    ///
    /// # Errors
    /// If it is no longer there.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Kills it and waits until it is gone.
    pub fn kill(mut self) {
        self.end();
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.context("a process without a number")?;
        kill_process(pid, signal).context("signalling a process of this run")
    }

    fn end(&mut self) {
        // The child is not yet waited for, so the number is its own still.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.end();
    }
}

fn read_events(node: NodeId, life: u32, output: impl BufRead, reports: &Sender<Report>) {
    for line in output.lines() {
        let Ok(line) = line else { break };
        let event = serde_json::from_str(&line)
            .unwrap_or_else(|error| Event::Failed(format!("a line that is no event: {error}")));
        if reports.send(Report { node, life, event: Some(event) }).is_err() {
            return;
        }
    }
    let _ = reports.send(Report { node, life, event: None });
}
