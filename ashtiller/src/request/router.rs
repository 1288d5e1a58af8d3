//! A caller's request on its way through the gateway.
//!
//! A request is checked, gets a slot, and is sent. What may be repeated is sent
//! again after a failure, within the deadline and a budget; everything else is
//! sent at most once. Once a request may have run, no later refusal may call it
//! not run.

use std::collections::HashMap;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::{request, response};
use hyper::{Request, Response, StatusCode, Uri};
use parking_lot::RwLock;
use rand::RngExt;
use tokio::time;

use crate::claims::{self, Claim, ClaimResult, ClaimWriter};
use crate::clock::Clock;
use crate::config::Config;
use crate::endpoint::Endpoint;
use crate::gateway_metrics::GatewayMetrics;
use crate::headers;
use crate::health::RequestResult;
use crate::outcome::{self, LocalResponse, Outcome};
use crate::pool::{Connection, Unanswered};
use crate::replayable_body::{Allowance, ReplayableBody};
use crate::request_body::RequestBody;
use crate::request_head;
use crate::request_queue::AdmissionRequest;
use crate::response_body::{Flight, ResponseBody};
use crate::service_dispatcher::{Admitted, ServiceDispatcher, SlotGuard};
use crate::settings;
use crate::template::Service;

/// Header in which the gateway names the endpoint that answered.
const ENDPOINT: HeaderName = HeaderName::from_static("ashtiller-endpoint");
/// Attempts for one request.
const ATTEMPTS_MAX: u32 = 3;
/// Share of the time left that a first attempt of a repeatable request may take.
const FIRST_SHARE: f64 = 0.6;
/// When to come back after a failure that says nothing of the backlog.
const AFTER: Duration = Duration::from_millis(500);
/// Routes callers' requests.
pub struct Router {
    settings: settings::Gateway,
    config: Arc<Config>,
    claims: ClaimWriter,
    tally: Arc<GatewayMetrics>,
    clock: Arc<dyn Clock>,
    desks: RwLock<HashMap<Arc<str>, Arc<ServiceDispatcher>>>,
    ids: AtomicU64,
    life: u64,
}

/// What a request asks for.
struct Plan {
    desk: Arc<ServiceDispatcher>,
    service: Service,
    account: Arc<str>,
    deadline: Duration,
    repeat: bool,
    claim: Option<Claim>,
    target: Uri,
}

/// State of a request over its attempts.
struct Course {
    attempts: u32,
    avoid: Option<u64>,
    claimed: Option<Box<str>>,
    may_have_run: bool,
}

/// The end of one attempt.
enum Attempt {
    /// An answer for the caller.
    Answer(Response<ResponseBody>),
    /// The endpoint did not run it.
    NotRun(LocalResponse),
    /// The endpoint may have run it.
    Unknown(LocalResponse),
}

impl Router {
    /// A router without services; [`Router::add_desk`] brings them.
    #[must_use]
    pub fn new(
        settings: settings::Gateway,
        config: Arc<Config>,
        claims: ClaimWriter,
        tally: Arc<GatewayMetrics>,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            config,
            claims,
            tally,
            clock,
            desks: RwLock::default(),
            ids: AtomicU64::new(1),
            life: rand::random(),
        })
    }

    /// The services.
    #[must_use]
    pub fn services(&self) -> Vec<Arc<ServiceDispatcher>> {
        self.desks.read().values().cloned().collect()
    }

    /// One service.
    #[must_use]
    pub fn service(&self, service: &str) -> Option<Arc<ServiceDispatcher>> {
        self.desks.read().get(service).cloned()
    }

    /// Adds a service.
    pub fn add_service(&self, service: &Arc<str>, desk: Arc<ServiceDispatcher>) {
        self.desks.write().insert(service.clone(), desk);
    }

    /// Serves one request.
    pub async fn serve(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        self.tally.requests.inc();
        let began = self.clock.now();
        let served = self.try_serve(request).await;
        self.tally.requests.dec();
        match served {
            Ok(answer) => {
                let took = self.clock.now().saturating_sub(began);
                self.tally.latency.observe(took.as_secs_f64());
                answer
            }
            Err(verdict) => self.end(&verdict),
        }
    }

    fn end(&self, verdict: &LocalResponse) -> Response<ResponseBody> {
        self.tally
            .ended
            .with_label_values(&[verdict.outcome.name()])
            .inc();
        let jitter = rand::rng().random_range(0.0..1.0);
        verdict.answer(jitter).map(ResponseBody::Own)
    }

    async fn try_serve(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, LocalResponse> {
        let (head, incoming) = request.into_parts();
        let plan = self.plan(&head).inspect_err(|_| self.tally.wrong.inc())?;
        let mut body = ReplayableBody::open(incoming, self.allowance(&plan))
            .await
            .inspect_err(|_| self.tally.wrong.inc())?;
        plan.desk.budget.lock().deposit();
        let mut course = Course {
            attempts: 0,
            avoid: None,
            claimed: None,
            may_have_run: false,
        };
        loop {
            let verdict = match self.attempt(&plan, &mut course, &head, &mut body).await {
                Attempt::Answer(answer) => return Ok(answer),
                Attempt::NotRun(verdict) if body.is_spent() => verdict,
                Attempt::NotRun(verdict) => {
                    if self.may_retry(&plan, &course, &verdict) {
                        continue;
                    }
                    verdict
                }
                Attempt::Unknown(verdict) => {
                    course.may_have_run = true;
                    let retry = plan.repeat && !body.is_spent();
                    if retry && self.may_retry(&plan, &course, &verdict) {
                        continue;
                    }
                    verdict
                }
            };
            return Err(self.conclude(&plan, &course, verdict));
        }
    }

    /// The last word on a request: never "not run" once it may have run.
    fn conclude(&self, plan: &Plan, course: &Course, mut verdict: LocalResponse) -> LocalResponse {
        if course.may_have_run {
            verdict.outcome = Outcome::Unknown;
            return verdict;
        }
        if let (Some(key), Some(claim)) = (&course.claimed, &plan.claim) {
            self.claims.release(key.clone(), claim);
        }
        verdict
    }

    fn plan(&self, head: &request::Parts) -> Result<Plan, LocalResponse> {
        headers::check(&head.method, head.version, &head.headers)?;
        let wrong = LocalResponse::wrong;
        let (service, target) = request_head::split_target(&head.uri)
            .ok_or_else(|| wrong(StatusCode::BAD_REQUEST, "the path names no service"))?;
        let account = request_head::header(head, request_head::ACCOUNT).ok_or_else(|| {
            wrong(
                StatusCode::FORBIDDEN,
                "the header client-account is missing",
            )
        })?;
        let force = self.config.active();
        let (account, template) = force
            .templates
            .get_key_value(account)
            .ok_or_else(|| wrong(StatusCode::FORBIDDEN, "this client account is not known"))?;
        let known = template.services.get(service);
        let settings = known.ok_or_else(|| {
            wrong(
                StatusCode::NOT_FOUND,
                "the client account has no such service",
            )
        })?;
        let desk = self.service(service).ok_or_else(|| {
            let reason = "the service is not open yet";
            LocalResponse::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, AFTER)
        })?;
        let timeout = request_head::read_timeout(head)?
            .map_or(settings.timeout, |own| own.min(settings.timeout));
        let repeat = settings.may_repeat(head.method.as_str());
        let claim = if repeat {
            None
        } else {
            self.read_claim(head, account)?
        };
        Ok(Plan {
            desk,
            service: settings.clone(),
            account: account.clone(),
            deadline: self.clock.now() + timeout,
            repeat,
            claim,
            target,
        })
    }

    fn allowance(&self, plan: &Plan) -> Allowance {
        let time = plan.deadline.saturating_sub(self.clock.now());
        Allowance {
            most: self.settings.max_body_bytes,
            keep: self.settings.max_replay_bytes,
            time,
        }
    }

    fn read_claim(
        &self,
        head: &request::Parts,
        account: &Arc<str>,
    ) -> Result<Option<Claim>, LocalResponse> {
        let Some(key) = request_head::read_key(head)? else {
            return Ok(None);
        };
        let nonce = self
            .life
            .wrapping_add(self.ids.fetch_add(1, Ordering::Relaxed));
        Ok(Some(Claim {
            account: account.clone(),
            key,
            nonce,
        }))
    }

    fn may_retry(&self, plan: &Plan, course: &Course, verdict: &LocalResponse) -> bool {
        // A refusal of the admission is final; only what an endpoint did is retried.
        let refused = verdict.status == StatusCode::TOO_MANY_REQUESTS || course.avoid.is_none();
        if refused || course.attempts >= ATTEMPTS_MAX || self.clock.now() >= plan.deadline {
            return false;
        }
        let spent = plan.desk.budget.lock().withdraw();
        if spent {
            self.tally.retries.inc();
        } else {
            self.tally.unspent.inc();
        }
        spent
    }

    async fn attempt(
        &self,
        plan: &Plan,
        course: &mut Course,
        head: &request::Parts,
        body: &mut ReplayableBody,
    ) -> Attempt {
        let avoid = course.avoid.take();
        course.attempts += 1;
        let mut slot = match plan.desk.admit(self.ticket(plan, avoid)).await {
            Admitted::Slot(slot) => slot,
            Admitted::Refused(refusal) => return Attempt::NotRun(LocalResponse::refused(refusal)),
            Admitted::TimedOut => {
                let reason = "no slot became free before the deadline";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return Attempt::NotRun(LocalResponse::not_run(status, reason, AFTER));
            }
        };
        if let Err(verdict) = self.claim(plan, course).await {
            return Attempt::NotRun(verdict);
        }
        let Some(endpoint) = plan.desk.endpoint(slot.endpoint) else {
            return Attempt::NotRun(unreachable_verdict());
        };
        course.avoid = Some(slot.endpoint);
        let Ok(link) = plan.desk.pool.checkout(endpoint.listing.address).await else {
            slot.set_result(RequestResult::Failure);
            return Attempt::NotRun(unreachable_verdict());
        };
        let limit = self.attempt_limit(plan, course, body);
        self.send(
            plan,
            head,
            body,
            Sending {
                slot,
                link,
                endpoint,
                limit,
            },
        )
        .await
    }

    fn ticket(&self, plan: &Plan, avoid: Option<u64>) -> AdmissionRequest {
        AdmissionRequest {
            id: self.ids.fetch_add(1, Ordering::Relaxed),
            account: plan.account.clone(),
            class: plan.service.class,
            deadline: plan.deadline,
            max_in_flight: plan.service.max_in_flight,
            max_queued: plan.service.max_queued,
            avoid,
        }
    }

    async fn claim(&self, plan: &Plan, course: &mut Course) -> Result<(), LocalResponse> {
        let Some(claim) = plan.claim.as_ref().filter(|_| course.claimed.is_none()) else {
            return Ok(());
        };
        match self.claims.claim(claim.clone()).await {
            ClaimResult::Acquired(key) => {
                self.tally.claimed.inc();
                course.claimed = Some(key);
                Ok(())
            }
            ClaimResult::AlreadyClaimed => {
                self.tally.repeated.inc();
                // This repeat is not sent, but the first request may have run.
                course.may_have_run = true;
                let reason = "a request with this Idempotency-Key was sent before";
                Err(LocalResponse::unknown(StatusCode::CONFLICT, reason))
            }
            ClaimResult::Refused(failure) => {
                tracing::debug!(%failure, "claim refused");
                self.claims.release(claims::current_key(claim), claim);
                let reason = "the Idempotency-Key could not be recorded";
                Err(LocalResponse::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    reason,
                    AFTER,
                ))
            }
        }
    }

    fn attempt_limit(&self, plan: &Plan, course: &Course, body: &ReplayableBody) -> Duration {
        let left = plan.deadline.saturating_sub(self.clock.now());
        let again = plan.repeat && matches!(body, ReplayableBody::Kept(_)) && course.attempts == 1;
        if again {
            left.mul_f64(FIRST_SHARE)
        } else {
            left
        }
    }

    async fn send(
        &self,
        plan: &Plan,
        head: &request::Parts,
        body: &mut ReplayableBody,
        sending: Sending,
    ) -> Attempt {
        let Sending {
            mut slot,
            mut link,
            endpoint,
            limit,
        } = sending;
        let request = build(plan, head, body.take(self.settings.max_body_bytes));
        let exchange = link.sender.try_send_request(request);
        let unanswered = plan.desk.pool.begin(endpoint.listing.address);
        let waited = self.wait_answer(plan, limit, &unanswered, exchange).await;
        let answered = match waited {
            Ok(Ok(answer)) => {
                unanswered.end();
                answer
            }
            Ok(Err(mut error)) => {
                unanswered.end();
                slot.set_result(RequestResult::Failure);
                return match error.take_message() {
                    Some(request) => {
                        body.give_back(request.into_body());
                        Attempt::NotRun(unreachable_verdict())
                    }
                    None => Attempt::Unknown(failed_verdict(error.error())),
                };
            }
            Err(_) => {
                slot.set_result(RequestResult::Failure);
                self.tally.unanswered.inc();
                let reason = "the endpoint gave no answer in time";
                return Attempt::Unknown(LocalResponse::unknown(
                    StatusCode::GATEWAY_TIMEOUT,
                    reason,
                ));
            }
        };
        self.receive(
            plan,
            answered,
            Flying {
                slot,
                link,
                endpoint,
            },
        )
    }

    /// Waits for an answer for `limit`, and on to the deadline while the endpoint
    /// answers others and connections of this one's age answer: then the request is slow,
    /// and neither the endpoint nor the connection.
    async fn wait_answer<T>(
        &self,
        plan: &Plan,
        limit: Duration,
        unanswered: &Unanswered<'_>,
        exchange: impl Future<Output = T>,
    ) -> Result<T, time::error::Elapsed> {
        let mut exchange = pin!(exchange);
        let first = time::timeout(limit, exchange.as_mut()).await;
        if first.is_ok() || !unanswered.is_vouched() {
            return first;
        }
        let left = plan.deadline.saturating_sub(self.clock.now());
        time::timeout(left, exchange).await
    }

    fn receive(&self, plan: &Plan, answer: Response<Incoming>, flying: Flying) -> Attempt {
        let Flying {
            mut slot,
            link,
            endpoint,
        } = flying;
        let (mut head, body) = answer.into_parts();
        let desk = &plan.desk;
        let closes = headers::closes(&head.headers);
        if let Some(load) = headers::reported_load(&head.headers) {
            desk.with_dispatch(|dispatch, now| dispatch.record_load(endpoint.id, load, now));
        }
        if head.status == StatusCode::SERVICE_UNAVAILABLE && says_not_run(&head) {
            slot.set_result(RequestResult::Ignored);
            desk.with_dispatch(|dispatch, now| dispatch.mark_leaving(endpoint.id, now));
            return Attempt::NotRun(unreachable_verdict());
        }
        // An outcome is the gateway's word; an endpoint's answer carries none.
        head.headers.remove(outcome::HEADER);
        headers::strip(&mut head.headers);
        if let Ok(name) = HeaderValue::from_str(&endpoint.listing.name) {
            head.headers.insert(ENDPOINT, name);
        }
        let failed = head.status.is_server_error();
        self.tally
            .answered
            .with_label_values(&[class_of(head.status)])
            .inc();
        let flight = Flight {
            slot,
            link,
            closes,
            failed,
            tally: self.tally.clone(),
        };
        let body = ResponseBody::stream(body, flight, plan.service.timeout);
        Attempt::Answer(Response::from_parts(head, body))
    }
}

fn build(plan: &Plan, head: &request::Parts, body: RequestBody) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = plan.target.clone();
    request.headers_mut().clone_from(&head.headers);
    headers::strip_request(request.headers_mut());
    request
}

struct Sending {
    slot: SlotGuard,
    link: Connection,
    endpoint: Endpoint,
    limit: Duration,
}

struct Flying {
    slot: SlotGuard,
    link: Connection,
    endpoint: Endpoint,
}

fn says_not_run(head: &response::Parts) -> bool {
    let outcome = head.headers.get(outcome::HEADER);
    outcome.is_some_and(|outcome| outcome == Outcome::NotRun.name())
}

fn unreachable_verdict() -> LocalResponse {
    let reason = "no endpoint could be reached";
    LocalResponse::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, AFTER)
}

fn failed_verdict(error: &hyper::Error) -> LocalResponse {
    let too_large = std::error::Error::source(error)
        .and_then(|source| source.downcast_ref::<crate::request_body::Broken>())
        .is_some_and(|broken| matches!(broken, crate::request_body::Broken::TooLarge));
    if too_large {
        return LocalResponse::unknown(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    }
    LocalResponse::unknown(StatusCode::BAD_GATEWAY, "the endpoint's connection failed")
}

fn class_of(status: StatusCode) -> &'static str {
    match status.as_u16() {
        100..200 => "1xx",
        200..300 => "2xx",
        300..400 => "3xx",
        400..500 => "4xx",
        _ => "5xx",
    }
}
