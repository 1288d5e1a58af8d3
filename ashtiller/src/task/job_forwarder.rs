//! Jobs on their way from a gateway to the cell that owns them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use parking_lot::Mutex;
use serde_json::json;
use tokio::time;

use crate::config::Config;
use crate::failure::{Failure, RemoteEffect};
use crate::membership::Membership;
use crate::ops::{Command, Said};
use crate::outcome::Outcome;
use crate::peer::{Peer, Role, Submission, Verdict};
use crate::rendezvous;
use crate::roster::Roster;
use crate::store::Store;
use crate::wire::Wire;

/// Prefix of the keys that name each account's home cell.
pub const HOMES: &str = "ashtiller/homes/";
/// Time limit of one submission.
const ASK_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause before another scheduler is asked.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Forwards jobs.
pub struct JobForwarder {
    /// Key-value service.
    pub store: Arc<dyn Store>,
    /// The platform's list.
    pub roster: Arc<dyn Roster>,
    /// Service whose instances are workers.
    pub workers: Arc<str>,
    /// Templates.
    pub config: Arc<Config>,
    /// Schedulers.
    pub membership: Arc<Membership>,
    /// Wire to them.
    pub wire: Wire,
    /// Home cells that were read.
    pub home_cells: Mutex<BTreeMap<Arc<str>, Arc<str>>>,
}

impl JobForwarder {
    /// Carries out a command on jobs; `None` when it is none.
    pub async fn command(&self, command: &Command) -> Option<Said> {
        let path: Vec<&str> = command.path.iter().map(|part| &**part).collect();
        match (&command.method, path.as_slice()) {
            (&Method::PUT, ["v1", "jobs", account, job]) => Some(
                self.submit(command, &Arc::from(*account), &Arc::from(*job))
                    .await,
            ),
            (&Method::DELETE, ["v1", "jobs", account, job]) => {
                Some(self.cancel(&Arc::from(*account), &Arc::from(*job)).await)
            }
            (&Method::GET, ["v1", "jobs", account, job]) => {
                Some(self.show(&Arc::from(*account), &Arc::from(*job)).await)
            }
            (&Method::GET, ["v1", "jobs", account]) => {
                Some(self.show(&Arc::from(*account), &Arc::from("")).await)
            }
            (&Method::GET, ["v1", "cells", cell]) => Some(
                self.show_cell(&Arc::from(*cell), &Arc::from(""), &Arc::from(""))
                    .await,
            ),
            _ => None,
        }
    }

    async fn submit(&self, command: &Command, account: &Arc<str>, job: &Arc<str>) -> Said {
        let submission = match self.submission(command, account, job) {
            Ok(submission) => submission,
            Err(said) => return said,
        };
        let cell = match self.home_cell(account).await {
            Ok(cell) => cell,
            Err(failure) => return unavailable(&failure.to_string()),
        };
        let verdict = self
            .ask_owner(&cell, |peer| {
                let (cell, submission) = (cell.clone(), submission.clone());
                async move { peer.submit(cell, submission).await }
            })
            .await;
        verdict_response(&verdict)
    }

    fn submission(
        &self,
        command: &Command,
        account: &Arc<str>,
        job: &Arc<str>,
    ) -> Result<Submission, Said> {
        let wrong = |reason: &str| response(StatusCode::BAD_REQUEST, Outcome::NotRun, reason);
        if !crate::document::is_name(job) {
            return Err(wrong(
                "a job's name needs 1 to 63 letters, digits, `-`, `_` or `.`",
            ));
        }
        let force = self.config.force();
        let template = force
            .templates
            .get(account)
            .ok_or_else(|| wrong("this client account is not known"))?;
        let kind = command
            .param("kind")
            .ok_or_else(|| wrong("the parameter `kind` is missing"))?;
        let (kind, found) = template
            .jobs
            .get_key_value(kind)
            .ok_or_else(|| wrong("the template has no job of this kind"))?;
        let tasks = match command.param("tasks").map(str::parse) {
            None => found.tasks,
            Some(Ok(tasks)) if (1..=10_000).contains(&tasks) => tasks,
            Some(_) => return Err(wrong("`tasks` is a whole number from 1 to 10000")),
        };
        Ok(Submission {
            account: account.clone(),
            job: job.clone(),
            kind: kind.clone(),
            class: found.class,
            urgent: found.urgent,
            tasks,
            needs: found.needs,
            length: found.length,
            target: found.target,
            attempts: found.attempts,
            quota: template.quota,
            evictions: template.evictions,
        })
    }

    async fn cancel(&self, account: &Arc<str>, job: &Arc<str>) -> Said {
        let cell = match self.home_cell(account).await {
            Ok(cell) => cell,
            Err(failure) => return unavailable(&failure.to_string()),
        };
        let verdict = self
            .ask_owner(&cell, |peer| {
                let (cell, account, job) = (cell.clone(), account.clone(), job.clone());
                async move { peer.cancel(cell, account, job).await }
            })
            .await;
        verdict_response(&verdict)
    }

    async fn show(&self, account: &Arc<str>, job: &Arc<str>) -> Said {
        match self.home_cell(account).await {
            Ok(cell) => self.show_cell(&cell, account, job).await,
            Err(failure) => unavailable(&failure.to_string()),
        }
    }

    async fn show_cell(&self, cell: &Arc<str>, account: &Arc<str>, job: &Arc<str>) -> Said {
        for peer in self.candidates(cell) {
            let shown = peer.show(cell.clone(), account.clone(), job.clone()).await;
            if let Some(json) = shown.ok().filter(|json| !json.is_empty()) {
                return (StatusCode::OK, json);
            }
        }
        unavailable("no scheduler owns the cell just now")
    }

    /// The cell that admits an account's jobs: chosen once, and kept in the store.
    ///
    /// # Errors
    /// The store or the list of instances cannot be read, or is empty.
    pub async fn home_cell(&self, account: &Arc<str>) -> Result<Arc<str>, Failure> {
        if let Some(cell) = self.home_cells.lock().get(account) {
            return Ok(cell.clone());
        }
        let key = format!("{HOMES}{account}");
        let mut found = self.store.get(&key).await?;
        if found.is_none() {
            let cell = self.choose_home_cell(account).await?;
            let value = Bytes::copy_from_slice(cell.as_bytes());
            // Whoever wrote first decides; the key is read back in any case.
            match self.store.swap(&key, value, 0).await {
                Err(failure) if failure.effect == RemoteEffect::None => return Err(failure),
                _ => found = self.store.get(&key).await?,
            }
        }
        let missing = || Failure::no_effect("home cell", account, "it was not recorded");
        let value = found.ok_or_else(missing)?.value;
        let cell: Arc<str> = String::from_utf8_lossy(&value).into();
        self.home_cells.lock().insert(account.clone(), cell.clone());
        Ok(cell)
    }

    async fn choose_home_cell(&self, account: &str) -> Result<Arc<str>, Failure> {
        let listed = self.roster.watch(&self.workers, 0, ASK_TIMEOUT).await?;
        let cells: BTreeSet<Arc<str>> = listed
            .instances
            .into_iter()
            .map(|worker| worker.zone)
            .collect();
        let none = || Failure::no_effect("home cell", account, "the platform lists no workers");
        rendezvous::first(account, &cells).ok_or_else(none)
    }

    /// Schedulers that may own a cell, most likely first.
    fn candidates(&self, cell: &str) -> Vec<Arc<dyn Peer>> {
        let members = self.membership.members();
        let owner = members.owner(cell).map(|known| known.member.name.clone());
        let ranked = rendezvous::rank(cell, &members.present(Role::Scheduler));
        let mut names: Vec<Arc<str>> = owner.into_iter().chain(ranked).collect();
        let mut seen = BTreeSet::new();
        names.retain(|name| seen.insert(name.clone()));
        let members = names
            .iter()
            .filter_map(|name| members.get(Role::Scheduler, name));
        members
            .map(|known| self.wire.connect(known.member.peers))
            .collect()
    }

    /// Asks until an owner gives a verdict. Asking twice is harmless: the same job
    /// under the same name is one job.
    async fn ask_owner<F>(&self, cell: &str, ask: impl Fn(Arc<dyn Peer>) -> F) -> Verdict
    where
        F: Future<Output = Result<Verdict, Failure>>,
    {
        let until = time::Instant::now() + ASK_TIMEOUT;
        let mut may_have_run = false;
        while time::Instant::now() < until {
            for peer in self.candidates(cell) {
                match ask(peer).await {
                    Ok(Verdict::NotOwner(_)) => {}
                    Ok(Verdict::Known) if !may_have_run => return Verdict::Known,
                    // It is known because an earlier question of ours was heard.
                    Ok(Verdict::Known) => return Verdict::Accepted,
                    Ok(verdict) => return verdict,
                    Err(failure) => may_have_run |= failure.effect == RemoteEffect::Unknown,
                }
            }
            time::sleep(RETRY_PAUSE).await;
        }
        if may_have_run {
            return Verdict::Unknown("the cell's owner gave no answer".into());
        }
        Verdict::NotOwner("no scheduler owns the cell just now".into())
    }
}

fn response(status: StatusCode, outcome: Outcome, reason: &str) -> Said {
    (
        status,
        json!({ "outcome": outcome.name(), "reason": reason }).to_string(),
    )
}

fn unavailable(reason: &str) -> Said {
    response(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, reason)
}

/// A verdict as an operator's answer.
fn verdict_response(verdict: &Verdict) -> Said {
    match verdict {
        Verdict::Accepted => (
            StatusCode::ACCEPTED,
            json!({ "outcome": "accepted" }).to_string(),
        ),
        Verdict::Known => (StatusCode::OK, json!({ "outcome": "known" }).to_string()),
        Verdict::Conflict(reason) => response(StatusCode::CONFLICT, Outcome::NotRun, reason),
        Verdict::Never(reason) => {
            response(StatusCode::UNPROCESSABLE_ENTITY, Outcome::NotRun, reason)
        }
        Verdict::NotOwner(reason) => unavailable(reason),
        Verdict::Unknown(reason) => response(StatusCode::GATEWAY_TIMEOUT, Outcome::Unknown, reason),
        Verdict::Missing => response(
            StatusCode::NOT_FOUND,
            Outcome::NotRun,
            "there is no such job",
        ),
    }
}
