//! The child processes of a run. Each is this same program under a hidden command. When the coordinator drops
//! them they are killed, only through their own handles.

use super::control::{Command, Event};
use anyhow::{Context, Result};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Stdio};
use std::sync::mpsc::Sender;
use std::thread;

/// Hidden command that runs this program as a process of a run.
pub const NODE_COMMAND: &str = "propagation-node";

/// Identifies a process of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NodeId {
    /// The publisher.
    Publisher,
    /// A relay, by index.
    Relay(usize),
    /// The subscribers of a zone, by index of the zone.
    Subscribers(usize),
    /// The proxy of a region, by index of the region.
    Proxy(usize),
}

/// An event of a process, or the end of its output.
#[derive(Debug)]
pub struct Report {
    /// Process that sent the event.
    pub node: NodeId,
    /// Incarnation of the process.
    pub incarnation: u32,
    /// Event; none if the output has ended.
    pub event: Option<Event>,
}

/// A running process.
pub struct NodeProcess {
    child: Child,
    input: ChildStdin,
}

impl NodeProcess {
    /// Starts a process and sends it its setup. Its events go to `reports`.
    ///
    /// # Errors
    /// Returns an error if the process can't be started.
    pub fn start(
        node: NodeId,
        incarnation: u32,
        setup: &Command,
        reports: Sender<Report>,
    ) -> Result<NodeProcess> {
        let program = std::env::current_exe().context("this program's own path")?;
        let mut child = std::process::Command::new(program)
            .arg(NODE_COMMAND)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("starting {node:?}"))?;
        let input = child.stdin.take().context("the child has no standard input")?;
        let output = child.stdout.take().context("the child has no standard output")?;
        let mut process = NodeProcess { child, input };
        thread::spawn(move || read_events(node, incarnation, BufReader::new(output), &reports));
        process.send(setup)?;
        Ok(process)
    }

    /// Sends a command to the process.
    ///
    /// # Errors
    /// Returns an error if the process no longer reads its input.
    pub fn send(&mut self, command: &Command) -> Result<()> {
        let mut line = serde_json::to_vec(command)?;
        line.push(b'\n');
        self.input.write_all(&line).context("sending a command to a process")?;
        Ok(())
    }

    /// Suspends the process (SIGSTOP).
    ///
    /// # Errors
    /// Returns an error if the process no longer exists.
    pub fn pause(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes the process (SIGCONT).
    ///
    /// # Errors
    /// Returns an error if the process no longer exists.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(mut self) {
        self.kill_and_wait();
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.context("the process id is invalid")?;
        kill_process(pid, signal).context("signalling a process of this run")
    }

    fn kill_and_wait(&mut self) {
        // The child has not been reaped yet, so its process id has not been reused.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill_and_wait();
    }
}

fn read_events(node: NodeId, incarnation: u32, output: impl BufRead, reports: &Sender<Report>) {
    for line in output.lines() {
        let Ok(line) = line else { break };
        let event = serde_json::from_str(&line)
            .unwrap_or_else(|error| Event::Failed(format!("invalid event: {error}")));
        if reports.send(Report { node, incarnation, event: Some(event) }).is_err() {
            return;
        }
    }
    let _ = reports.send(Report { node, incarnation, event: None });
}
