//! The faults of a seed as they are played.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use tokio::time::{self, Instant};

use crate::proxy::Path;
use crate::schedule::{self, Event, Links, Sort};
use crate::standin::store::Mode;
use crate::world::World;

/// Time between two jobs; faults come beside them.
const SUBMIT: Duration = Duration::from_millis(250);

impl World {
    pub async fn disturb(&mut self) -> anyhow::Result<usize> {
        let (begin, seed, span) = (Instant::now(), self.plan.seed, self.plan.span);
        let events = schedule::draw(seed, span, self.sites.len(), self.plan.workers);
        let mut events = events.into_iter().peekable();
        let others = schedule::sort_of(seed) != Sort::Links;
        // Draws go by the number of the step, not by the clock, so that they are the
        // same each time.
        let mut next = Duration::from_secs(1);
        let (mut faults, mut number) = (0, 0);
        while SUBMIT * number < span {
            self.submit(number);
            number += 1;
            let now = SUBMIT * number;
            while let Some((at, event)) = events.next_if(|(at, _)| *at <= now) {
                time::sleep_until(begin + at).await;
                self.play_event(event).await?;
                faults += 1;
            }
            time::sleep_until(begin + now).await;
            self.revive()?;
            self.shake();
            self.evacuate();
            self.bring_back().await?;
            if others && now >= next {
                self.play_fault().await?;
                faults += 1;
                next = now + Duration::from_millis(self.rng.random_range(300..2500));
            }
        }
        Ok(faults)
    }

    /// Processes that ended are started again now and then.
    fn revive(&mut self) -> anyhow::Result<()> {
        for place in 0..self.sites.len() {
            if self.rng.random_range(0..6) == 0 && self.start_entry(place)? {
                self.note(&format!("entry {place} starts"));
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
            Event::Kill(place) => self.kill(place)?,
        }
        Ok(())
    }

    fn silence(&self, links: Links, owner: Option<usize>) {
        let now = self.now();
        let mut touch = self.checks.touch.lock();
        match links {
            Links::Store(place) => {
                self.sites[place].store.silence();
                touch.change(place, now, |_| {});
            }
            Links::Owner => {
                let place = owner.unwrap_or_default();
                self.sites[place].store.silence();
                touch.change(place, now, |_| {});
            }
            Links::Clients(place) => {
                self.sites[place].clients.silence();
                touch.change(place, now, |_| {});
            }
            Links::Worker(worker) => {
                if let Some(member) = self.checks.fleet.lock().get(&worker) {
                    member.link.silence();
                }
                // Any entry may have had a connection there.
                touch.change_all(now, |_| {});
            }
            Links::All => {
                for site in &self.sites {
                    site.store.silence();
                    site.clients.silence();
                }
                for member in self.checks.fleet.lock().values() {
                    member.link.silence();
                }
                touch.change_all(now, |_| {});
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
            let life = member.agent.worker.lock().incarnation.clone();
            let store = &self.checks.store;
            let room = member.agent.worker.lock().capacity;
            store.put_worker(&life, worker, member.link.address, true, &room);
            member.drained = Some(now);
        }
    }

    /// A worker that said that it leaves has left, and another life comes.
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
        let gone = self.checks.fleet.lock().remove(&worker);
        if let Some(gone) = gone {
            let worker = gone.agent.worker.lock();
            self.troubles.lock().record_worker_loss(&worker);
            self.checks.store.remove_worker(worker.incarnation.id());
        }
        self.add_worker(worker).await
    }

    fn kill(&mut self, place: usize) -> anyhow::Result<()> {
        self.mark_down(place);
        self.sites[place].entry.kill()
    }

    fn mark_down(&self, place: usize) {
        let now = self.now();
        self.checks.touch.lock().change(place, now, |harm| {
            harm.down = true;
            harm.frozen = false;
        });
    }

    async fn play_fault(&mut self) -> anyhow::Result<()> {
        let place = self.rng.random_range(0..self.sites.len());
        let worker = self.rng.random_range(0..self.plan.workers);
        let fault = self.rng.random_range(0..12);
        self.note(&format!("fault {fault}, entry {place}, worker {worker}"));
        match fault {
            0 | 1 => self.kill(place)?,
            2 => {
                self.mark_down(place);
                self.sites[place].entry.signal(Signal::SIGTERM)?;
            }
            3 => {
                let now = self.now();
                let mut touch = self.checks.touch.lock();
                touch.change(place, now, |harm| harm.frozen = true);
                self.sites[place].entry.signal(Signal::SIGSTOP)?;
            }
            4 => self.thaw()?,
            5 => self.set_path(place, Path::OneWay),
            6 => self.set_path(place, Path::Reset),
            7 => self.set_path(place, Path::Delay(Duration::from_millis(120))),
            8 => self.heal_store(),
            9 => self.disturb_store(),
            10 => self.replace_worker(worker).await?,
            _ => {
                if let Some(member) = self.checks.fleet.lock().get(&worker) {
                    let mut cut = member.agent.unreachable.lock();
                    *cut = !*cut;
                }
            }
        }
        Ok(())
    }

    fn set_path(&self, place: usize, path: Path) {
        let (now, shut) = (self.now(), path != Path::Open);
        let mut touch = self.checks.touch.lock();
        touch.change(place, now, |harm| harm.shut = shut);
        self.sites[place].store.set_path(path);
    }

    fn disturb_store(&mut self) {
        let modes = [
            Mode::Unavailable,
            Mode::Unresponsive,
            Mode::LosesAnswers,
            Mode::Slow(Duration::from_millis(200)),
        ];
        let mode = modes[self.rng.random_range(0..modes.len())];
        self.checks.touch.lock().change_store(self.now(), true);
        self.checks.store.set_mode(mode);
        self.checks.store.compact();
    }

    /// The store works, and so do all ways to it.
    pub fn heal_store(&self) {
        self.checks.store.set_mode(Mode::Up);
        for place in 0..self.sites.len() {
            self.set_path(place, Path::Open);
        }
        self.checks.touch.lock().change_store(self.now(), false);
    }
}
