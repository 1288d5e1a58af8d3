//! Injection of a seed's faults into the running processes and stand-ins.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use tokio::time::{self, Instant};

use crate::proxy::Path;
use crate::schedule::{self, Event, FaultSet, Links};
use crate::standin::store::Mode;
use crate::world::World;

/// Time between two submitted jobs; faults are played between them.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(250);

impl World {
    pub async fn disturb(&mut self) -> anyhow::Result<usize> {
        let (begin, seed, span) = (Instant::now(), self.plan.seed, self.plan.span);
        let fault_set = schedule::fault_set(seed);
        let mut events = schedule::draw(seed, span, self.sites.len(), self.plan.workers);
        let mut others = fault_set != FaultSet::Links;
        if self.plan.bursts && fault_set != FaultSet::Both {
            // Only the faults that accompany the bursts, which leave calm periods.
            events.clear();
            others = false;
        }
        let mut events = events.into_iter().peekable();
        // Draws depend on the number of the step, not on the clock, so that a seed always
        // draws the same.
        let mut next = Duration::from_secs(1);
        let (mut faults, mut number) = (0, 0);
        while SUBMIT_INTERVAL * number < span {
            self.submit(number);
            number += 1;
            let now = SUBMIT_INTERVAL * number;
            while let Some((at, event)) = events.next_if(|(at, _)| *at <= now) {
                time::sleep_until(begin + at).await;
                self.play_event(event).await?;
                faults += 1;
            }
            time::sleep_until(begin + now).await;
            self.revive()?;
            self.disturb_workers();
            self.evacuate();
            faults += self.play_bursts(now)?;
            self.bring_back().await?;
            if others && now >= next {
                self.play_fault().await?;
                faults += 1;
                next = now + Duration::from_millis(self.rng.random_range(300..2500));
            }
        }
        Ok(faults)
    }

    /// Restarts entries that have exited: each one with a chance of 1 in 6 per step.
    fn revive(&mut self) -> anyhow::Result<()> {
        for index in 0..self.sites.len() {
            if self.rng.random_range(0..6) == 0 && self.start_entry(index)? {
                self.note(&format!("entry {index} starts"));
            }
        }
        Ok(())
    }

    async fn play_event(&mut self, event: Event) -> anyhow::Result<()> {
        let owner = self.checks.find_owner().map(|(_, owner)| owner);
        self.note(&format!("{event:?}, owner {owner:?}"));
        match event {
            Event::Silence(links) => self.silence(links, owner),
            Event::Drain(worker) => self.drain_worker(worker),
            Event::Leave(worker) => self.replace_drained(worker).await?,
            Event::Configure => self.configure(),
            Event::Kill(index) => self.kill(index)?,
        }
        Ok(())
    }

    fn silence(&self, links: Links, owner: Option<usize>) {
        let now = self.now();
        let mut health = self.checks.health.lock();
        match links {
            Links::Store(index) => {
                self.sites[index].store.silence();
                health.change(index, now, |_| {});
            }
            Links::Owner => {
                let index = owner.unwrap_or_default();
                self.sites[index].store.silence();
                health.change(index, now, |_| {});
            }
            Links::Clients(index) => {
                self.sites[index].clients.silence();
                health.change(index, now, |_| {});
            }
            Links::Worker(worker) => {
                if let Some(member) = self.checks.fleet.lock().get(&worker) {
                    member.proxy.silence();
                }
                // Any entry may have had a connection to this worker.
                health.change_all(now, |_| {});
            }
            Links::All => {
                for site in &self.sites {
                    site.store.silence();
                    site.clients.silence();
                }
                for member in self.checks.fleet.lock().values() {
                    member.proxy.silence();
                }
                health.change_all(now, |_| {});
            }
        }
    }

    fn drain_worker(&self, worker: usize) {
        let now = self.now();
        let mut fleet = self.checks.fleet.lock();
        let Some(member) = fleet.get_mut(&worker) else {
            return;
        };
        if member.drained.is_none() {
            let incarnation = member.server.worker.lock().incarnation.clone();
            let store = &self.checks.store;
            let capacity = member.server.worker.lock().capacity;
            store.put_worker(&incarnation, worker, member.proxy.address, true, &capacity);
            member.drained = Some(now);
        }
    }

    /// Replaces a worker that announced its drain by a new incarnation.
    pub async fn replace_drained(&mut self, worker: usize) -> anyhow::Result<()> {
        let is_drained = self
            .checks
            .fleet
            .lock()
            .get(&worker)
            .is_some_and(|member| member.drained.is_some());
        if is_drained {
            self.replace_worker(worker).await?;
        }
        Ok(())
    }

    async fn replace_worker(&mut self, worker: usize) -> anyhow::Result<()> {
        let removed = self.checks.fleet.lock().remove(&worker);
        if let Some(removed) = removed {
            let worker = removed.server.worker.lock();
            self.injector.lock().record_worker_loss(&worker);
            self.checks.store.remove_worker(worker.incarnation.id());
        }
        self.add_worker(worker).await
    }

    pub fn kill(&mut self, index: usize) -> anyhow::Result<()> {
        self.mark_down(index);
        self.sites[index].entry.kill()
    }

    fn mark_down(&self, index: usize) {
        let now = self.now();
        self.checks.health.lock().change(index, now, |state| {
            state.down = true;
            state.frozen = false;
        });
    }

    /// Tells an entry to stop.
    pub fn stop(&mut self, index: usize) -> anyhow::Result<()> {
        self.mark_down(index);
        self.sites[index].entry.signal(Signal::SIGTERM)
    }

    /// Suspends an entry's process.
    pub fn suspend(&mut self, index: usize) -> anyhow::Result<()> {
        let now = self.now();
        let mut health = self.checks.health.lock();
        health.change(index, now, |state| state.frozen = true);
        self.sites[index].entry.signal(Signal::SIGSTOP)
    }

    async fn play_fault(&mut self) -> anyhow::Result<()> {
        let index = self.rng.random_range(0..self.sites.len());
        let worker = self.rng.random_range(0..self.plan.workers);
        let fault = self.rng.random_range(0..12);
        self.note(&format!("fault {fault}, entry {index}, worker {worker}"));
        match fault {
            0 | 1 => self.kill(index)?,
            2 => self.stop(index)?,
            3 => self.suspend(index)?,
            4 => self.thaw()?,
            5 => self.set_path(index, Path::OneWay),
            6 => self.set_path(index, Path::Reset),
            7 => self.set_path(index, Path::Delay(Duration::from_millis(120))),
            8 => self.heal_store(),
            9 => self.disturb_store(),
            10 => self.replace_worker(worker).await?,
            _ => {
                if let Some(member) = self.checks.fleet.lock().get(&worker) {
                    let mut cut = member.server.unreachable.lock();
                    *cut = !*cut;
                }
            }
        }
        Ok(())
    }

    fn set_path(&self, index: usize, path: Path) {
        let (now, disturbed) = (self.now(), path != Path::Open);
        let mut health = self.checks.health.lock();
        health.change(index, now, |state| state.disturbed = disturbed);
        self.sites[index].store.set_path(path);
    }

    fn disturb_store(&mut self) {
        let modes = [
            Mode::Unavailable,
            Mode::Unresponsive,
            Mode::LosesAnswers,
            Mode::Slow(Duration::from_millis(200)),
        ];
        let mode = modes[self.rng.random_range(0..modes.len())];
        self.checks.health.lock().change_store(self.now(), true);
        self.checks.store.set_mode(mode);
        self.checks.store.compact();
    }

    /// Restores the store and the entries' connections to it.
    pub fn heal_store(&self) {
        self.checks.store.set_mode(Mode::Up);
        for index in 0..self.sites.len() {
            self.set_path(index, Path::Open);
        }
        self.checks.health.lock().change_store(self.now(), false);
    }
}
