//! Forwarding of job requests from a gateway to the owner of the account's cell.

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
use crate::ops::{Command, CommandReply};
use crate::outcome::Outcome;
use crate::peer::{JobReply, Peer, Role, Submission};
use crate::rendezvous;
use crate::rpc::RpcClient;
use crate::service_catalog::ServiceCatalog;
use crate::store::Store;

/// Prefix of the keys that name each account's home cell.
pub const HOMES: &str = "ashtiller/homes/";
/// Time limit of a submission or cancellation with all retries, and of reading the list of workers.
const ASK_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause before the schedulers are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Forwarder of job requests to the owners of cells.
pub struct JobForwarder {
    /// Key-value service.
    pub store: Arc<dyn Store>,
    /// The platform's list of instances.
    pub roster: Arc<dyn ServiceCatalog>,
    /// Service whose instances are workers.
    pub workers: Arc<str>,
    /// Configuration that contains the templates.
    pub config: Arc<Config>,
    /// Membership, from which the schedulers are known.
    pub membership: Arc<Membership>,
    /// Connections to the schedulers.
    pub wire: RpcClient,
    /// Cache of home cells by account.
    pub home_cells: Mutex<BTreeMap<Arc<str>, Arc<str>>>,
}

impl JobForwarder {
    /// Executes a command on jobs; returns `None` for any other command.
    pub async fn command(&self, command: &Command) -> Option<CommandReply> {
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

    async fn submit(&self, command: &Command, account: &Arc<str>, job: &Arc<str>) -> CommandReply {
        let submission = match self.submission(command, account, job) {
            Ok(submission) => submission,
            Err(error_response) => return error_response,
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
    ) -> Result<Submission, CommandReply> {
        let bad_request = |reason: &str| response(StatusCode::BAD_REQUEST, Outcome::NotRun, reason);
        if !crate::document::is_valid_name(job) {
            return Err(bad_request(
                "a job's name needs 1 to 63 letters, digits, `-`, `_` or `.`",
            ));
        }
        let active_config = self.config.active();
        let template = active_config
            .templates
            .get(account)
            .ok_or_else(|| bad_request("this client account is not known"))?;
        let kind = command
            .param("kind")
            .ok_or_else(|| bad_request("the parameter `kind` is missing"))?;
        let (kind, template_job) = template
            .jobs
            .get_key_value(kind)
            .ok_or_else(|| bad_request("the template has no job of this kind"))?;
        let tasks = match command.param("tasks").map(str::parse) {
            None => template_job.tasks,
            Some(Ok(tasks)) if (1..=10_000).contains(&tasks) => tasks,
            Some(_) => return Err(bad_request("`tasks` is a whole number from 1 to 10000")),
        };
        Ok(Submission {
            account: account.clone(),
            job: job.clone(),
            kind: kind.clone(),
            class: template_job.class,
            urgent: template_job.urgent,
            tasks,
            needs: template_job.resources,
            length: template_job.run_time,
            target: template_job.latency_target,
            attempts: template_job.max_attempts,
            quota: template.quota,
            evictions: template.evictions_per_hour,
        })
    }

    async fn cancel(&self, account: &Arc<str>, job: &Arc<str>) -> CommandReply {
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

    async fn show(&self, account: &Arc<str>, job: &Arc<str>) -> CommandReply {
        match self.home_cell(account).await {
            Ok(cell) => self.show_cell(&cell, account, job).await,
            Err(failure) => unavailable(&failure.to_string()),
        }
    }

    async fn show_cell(&self, cell: &Arc<str>, account: &Arc<str>, job: &Arc<str>) -> CommandReply {
        for peer in self.candidates(cell) {
            let view = peer.show(cell.clone(), account.clone(), job.clone()).await;
            if let Some(json) = view.ok().filter(|json| !json.is_empty()) {
                return (StatusCode::OK, json);
            }
        }
        unavailable("no scheduler owns the cell just now")
    }

    /// Returns the cell that admits an account's jobs. It is chosen once and kept in the store.
    ///
    /// # Errors
    /// The store or the list of instances cannot be read, or the list is empty.
    pub async fn home_cell(&self, account: &Arc<str>) -> Result<Arc<str>, Failure> {
        if let Some(cell) = self.home_cells.lock().get(account) {
            return Ok(cell.clone());
        }
        let key = format!("{HOMES}{account}");
        let mut stored = self.store.get(&key).await?;
        if stored.is_none() {
            let cell = self.choose_home_cell(account).await?;
            let value = Bytes::copy_from_slice(cell.as_bytes());
            // The first writer wins; the key is read back in any case.
            match self.store.compare_and_swap(&key, value, 0).await {
                Err(failure) if failure.effect == RemoteEffect::None => return Err(failure),
                _ => stored = self.store.get(&key).await?,
            }
        }
        let missing = || Failure::no_effect("home cell", account, "it was not recorded");
        let value = stored.ok_or_else(missing)?.value;
        let cell: Arc<str> = String::from_utf8_lossy(&value).into();
        self.home_cells.lock().insert(account.clone(), cell.clone());
        Ok(cell)
    }

    async fn choose_home_cell(&self, account: &str) -> Result<Arc<str>, Failure> {
        let workers = self.roster.watch(&self.workers, 0, ASK_TIMEOUT).await?;
        let cells: BTreeSet<Arc<str>> = workers
            .instances
            .into_iter()
            .map(|worker| worker.zone)
            .collect();
        let none = || Failure::no_effect("home cell", account, "the platform lists no workers");
        rendezvous::first(account, &cells).ok_or_else(none)
    }

    /// Returns the schedulers that may own a cell, most likely first.
    fn candidates(&self, cell: &str) -> Vec<Arc<dyn Peer>> {
        let members = self.membership.members();
        let owner = members.owner(cell).map(|known| known.member.name.clone());
        let ranked = rendezvous::rank(cell, &members.available(Role::Scheduler));
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

    /// Asks the schedulers until an owner gives a verdict. Repeating the request is safe: the same
    /// job under the same name is one job.
    async fn ask_owner<F>(&self, cell: &str, ask: impl Fn(Arc<dyn Peer>) -> F) -> JobReply
    where
        F: Future<Output = Result<JobReply, Failure>>,
    {
        let deadline = time::Instant::now() + ASK_TIMEOUT;
        let mut may_have_run = false;
        while time::Instant::now() < deadline {
            for peer in self.candidates(cell) {
                match ask(peer).await {
                    Ok(JobReply::NotOwner(_)) => {}
                    Ok(JobReply::Known) if !may_have_run => return JobReply::Known,
                    // The job is known because an earlier request of this loop was applied.
                    Ok(JobReply::Known) => return JobReply::Accepted,
                    Ok(verdict) => return verdict,
                    Err(failure) => may_have_run |= failure.effect == RemoteEffect::Unknown,
                }
            }
            time::sleep(RETRY_PAUSE).await;
        }
        if may_have_run {
            return JobReply::Unknown("the cell's owner gave no answer".into());
        }
        JobReply::NotOwner("no scheduler owns the cell just now".into())
    }
}

fn response(status: StatusCode, outcome: Outcome, reason: &str) -> CommandReply {
    (
        status,
        json!({ "outcome": outcome.name(), "reason": reason }).to_string(),
    )
}

fn unavailable(reason: &str) -> CommandReply {
    response(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, reason)
}

/// Converts a verdict to an HTTP response.
fn verdict_response(verdict: &JobReply) -> CommandReply {
    match verdict {
        JobReply::Accepted => (
            StatusCode::ACCEPTED,
            json!({ "outcome": "accepted" }).to_string(),
        ),
        JobReply::Known => (StatusCode::OK, json!({ "outcome": "known" }).to_string()),
        JobReply::Conflict(reason) => response(StatusCode::CONFLICT, Outcome::NotRun, reason),
        JobReply::Never(reason) => {
            response(StatusCode::UNPROCESSABLE_ENTITY, Outcome::NotRun, reason)
        }
        JobReply::NotOwner(reason) => unavailable(reason),
        JobReply::Unknown(reason) => {
            response(StatusCode::GATEWAY_TIMEOUT, Outcome::Unknown, reason)
        }
        JobReply::Missing => response(
            StatusCode::NOT_FOUND,
            Outcome::NotRun,
            "there is no such job",
        ),
    }
}
