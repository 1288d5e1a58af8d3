//! Starts, signals and kills one entry process.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use anyhow::Context;
use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

use crate::network::Network;

/// An entry process and the paths of its files.
pub struct Entry {
    /// Address on which the entry serves clients.
    pub clients: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

/// First and last port offset from which an entry picks its peer port.
const PEERS: u16 = 4;
const PEERS_LAST: u16 = 9;

/// Parameters for starting an entry.
pub struct EntryParams<'a> {
    /// Folder for settings and logs.
    pub folder: &'a Path,
    /// Path of the `ashtiller` binary.
    pub program: &'a Path,
    /// Number of the entry; each one listens on its own loopback address.
    pub number: u8,
    /// Loopback network that holds the addresses of all entries.
    pub network: &'a Network,
    /// Address of the entry's proxy to the store.
    pub store: SocketAddr,
    /// Address of the platform's machine interface.
    pub machines: SocketAddr,
    /// Number of entries.
    pub entries: u8,
}

impl Entry {
    /// Writes the settings file and starts the process.
    ///
    /// # Errors
    /// Fails when a file cannot be written or the program cannot be started.
    pub fn start(params: &EntryParams<'_>) -> anyhow::Result<Self> {
        let EntryParams {
            folder,
            number,
            network,
            store,
            machines,
            ..
        } = params;
        let own = |offset| network.entry(*number, offset);
        let seeds: Vec<String> = (0..params.entries)
            .map(|other| network.entry(other, PEERS).to_string())
            .collect();
        let text = format!(
            "[instance]\nname = entry-{number}\nregion = soak\navailability_zone = bern\n\
             [entry]\nhost = {}\nclients = {}\nreadiness = {}\n\
             operators = {}\nports = {},{}\nseeds = {}\ngrace = 4s\n\
             [platform]\nstore = {store}\nmachines = {machines}\n[workers]\nlease = 4s\nhorizon = 5s\nevacuation = 5s\n",
            own(0).ip(),
            own(0),
            own(1),
            own(2),
            own(PEERS).port(),
            own(PEERS_LAST).port(),
            seeds.join(","),
        );
        let settings = folder.join(format!("entry-{number}.ini"));
        fs::write(&settings, text).context("write settings")?;
        let mut entry = Self {
            clients: own(0),
            settings,
            log: folder.join(format!("entry-{number}.log")),
            program: params.program.to_owned(),
            child: None,
        };
        entry.launch()?;
        Ok(entry)
    }

    /// Starts the process unless it is running.
    ///
    /// # Errors
    /// Fails when the log cannot be opened or the program cannot be started.
    pub fn launch(&mut self) -> anyhow::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .context("open log")?;
        let errors = log.try_clone().context("open log")?;
        let child = Command::new(&self.program)
            .arg("entry")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .context("start entry")?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process if it is running.
    ///
    /// # Errors
    /// Fails when the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        if let Some(child) = &self.child {
            let id = i32::try_from(child.id()).context("process id")?;
            signal::kill(Pid::from_raw(id), signal).context("send signal")?;
        }
        Ok(())
    }

    /// Kills the process and reaps it.
    ///
    /// # Errors
    /// Fails when the process cannot be killed or waited for.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill().context("kill entry")?;
            child.wait().context("wait for entry")?;
        }
        Ok(())
    }

    /// Returns whether no process is running, and reaps one that has exited.
    ///
    /// # Errors
    /// Fails when the process state cannot be read.
    pub fn has_ended(&mut self) -> anyhow::Result<bool> {
        let Some(child) = &mut self.child else {
            return Ok(true);
        };
        let ended = child
            .try_wait()
            .context("read the state of the entry process")?
            .is_some();
        if ended {
            self.child = None;
        }
        Ok(ended)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            eprintln!("entry not ended: {error:#}");
        }
    }
}
