//! One entry process.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use anyhow::Context;
use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

use crate::network::Network;

/// An entry and where its files lie.
pub struct Entry {
    /// Where clients connect.
    pub clients: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

/// Ports among which an entry picks one for its peers, counted from its first.
const PEERS: u16 = 4;
const PEERS_LAST: u16 = 9;

/// What an entry needs to know.
pub struct Place<'a> {
    /// Folder for settings and logs.
    pub folder: &'a Path,
    /// The program.
    pub program: &'a Path,
    /// Number of the entry; it listens on a loopback address of its own.
    pub number: u8,
    /// Addresses of this soak's entries.
    pub network: &'a Network,
    /// Its way to the store.
    pub store: SocketAddr,
    /// Number of entries.
    pub entries: u8,
}

impl Entry {
    /// Writes its settings and starts it.
    ///
    /// # Errors
    /// A file cannot be written or the program not be started.
    pub fn start(place: &Place<'_>) -> anyhow::Result<Self> {
        let Place {
            folder,
            number,
            network,
            store,
            ..
        } = place;
        let own = |offset| network.entry(*number, offset);
        let seeds: Vec<String> = (0..place.entries)
            .map(|other| network.entry(other, PEERS).to_string())
            .collect();
        let text = format!(
            "[instance]\nname = entry-{number}\nregion = soak\navailability_zone = bern\n\
             [entry]\nhost = {}\nclients = {}\nreadiness = {}\n\
             operators = {}\nports = {},{}\nseeds = {}\ngrace = 4s\n\
             [platform]\nstore = {store}\n[workers]\nlease = 4s\nhorizon = 5s\nevacuation = 5s\n",
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
            program: place.program.to_owned(),
            child: None,
        };
        entry.launch()?;
        Ok(entry)
    }

    /// Starts the program, unless it runs.
    ///
    /// # Errors
    /// It cannot be started.
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

    /// Sends a signal to the process, if it runs.
    ///
    /// # Errors
    /// The signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        if let Some(child) = &self.child {
            let id = i32::try_from(child.id()).context("process id")?;
            signal::kill(Pid::from_raw(id), signal).context("send signal")?;
        }
        Ok(())
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    /// It cannot be killed.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill().context("kill entry")?;
            child.wait().context("wait for entry")?;
        }
        Ok(())
    }

    /// Whether the process has ended by itself; it is then forgotten.
    ///
    /// # Errors
    /// Its state cannot be read.
    pub fn has_ended(&mut self) -> anyhow::Result<bool> {
        let Some(child) = &mut self.child else {
            return Ok(true);
        };
        let ended = child.try_wait().context("look at entry")?.is_some();
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
