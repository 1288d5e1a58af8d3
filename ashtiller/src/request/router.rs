//! Routing of a caller's request to an endpoint.
//!
//! A request is validated, gets a slot and is sent. A repeatable request is retried
//! after a failure, within its deadline and the retry budget; any other is sent at
//! most once. Once a request may have run, no later refusal reports it as not run.

use std::collections::HashMap;
use std::future;
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
use crate::ingress;
use crate::outcome::{self, LocalResponse, Outcome};
use crate::pool::{Connection, PendingAttempt};
use crate::replayable_body::{BodyLimits, ReplayableBody};
use crate::request_body::{RequestBody, RequestBodyError};
use crate::request_head;
use crate::request_queue::AdmissionRequest;
use crate::response_body::{Exchange, ResponseBody};
use crate::service_dispatcher::{Admitted, ServiceDispatcher, SlotGuard};
use crate::settings;
use crate::template::{Class, Service};

/// Response header that names the endpoint that responded.
const ENDPOINT_HEADER: HeaderName = HeaderName::from_static("ashtiller-endpoint");
/// Largest number of attempts for one request.
const ATTEMPTS_MAX: u32 = 3;
/// Share of the remaining time that the first attempt of a repeatable request may take.
const FIRST_ATTEMPT_SHARE: f64 = 0.6;
/// Longest pause within a streamed body while other requests wait for a slot.
const STALL_MAX: Duration = Duration::from_secs(1);
/// Interval at which streamed bodies are checked for pauses.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time to retry after a failure that says nothing about the backlog.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Routes callers' requests.
pub struct Router {
    settings: settings::Gateway,
    config: Arc<Config>,
    claims: ClaimWriter,
    metrics: Arc<GatewayMetrics>,
    clock: Arc<dyn Clock>,
    services: RwLock<HashMap<Arc<str>, Arc<ServiceDispatcher>>>,
    ids: AtomicU64,
    nonce_base: u64,
}

/// A validated request: its service, limits and target.
struct Plan {
    service: Arc<ServiceDispatcher>,
    settings: Service,
    account: Arc<str>,
    deadline: Duration,
    repeat: bool,
    claim: Option<Claim>,
    target: Uri,
}

/// State of a request across its attempts.
struct RequestState {
    attempts: u32,
    avoid: Option<u64>,
    claimed: Option<Box<str>>,
    may_have_run: bool,
}

/// Result of one attempt.
enum Attempt {
    /// An endpoint's response for the caller.
    Response(Response<ResponseBody>),
    /// The endpoint did not run it.
    NotRun(LocalResponse),
    /// The endpoint may have run it.
    Unknown(LocalResponse),
}

impl Router {
    /// Creates a router without services; [`Router::add_service`] adds them.
    #[must_use]
    pub fn new(
        settings: settings::Gateway,
        config: Arc<Config>,
        claims: ClaimWriter,
        metrics: Arc<GatewayMetrics>,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            config,
            claims,
            metrics,
            clock,
            services: RwLock::default(),
            ids: AtomicU64::new(1),
            nonce_base: rand::random(),
        })
    }

    /// Returns all services.
    #[must_use]
    pub fn services(&self) -> Vec<Arc<ServiceDispatcher>> {
        self.services.read().values().cloned().collect()
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, service: &str) -> Option<Arc<ServiceDispatcher>> {
        self.services.read().get(service).cloned()
    }

    /// Adds a service.
    pub fn add_service(&self, service: &Arc<str>, dispatcher: Arc<ServiceDispatcher>) {
        self.services.write().insert(service.clone(), dispatcher);
    }

    /// Serves one request and records its latency and result.
    pub async fn serve(&self, request: Request<ingress::Body>) -> Response<ResponseBody> {
        self.metrics.requests.inc();
        let started = self.clock.now();
        let served = self.try_serve(request).await;
        self.metrics.requests.dec();
        match served {
            Ok(response) => {
                let elapsed = self.clock.now().saturating_sub(started);
                self.metrics.latency.observe(elapsed.as_secs_f64());
                response
            }
            Err(response) => self.finish_locally(&response),
        }
    }

    /// Returns the response to a request that could not be received.
    pub fn refuse(&self, refusal: ingress::Refusal) -> Response<ResponseBody> {
        self.metrics.rejected.inc();
        self.finish_locally(&LocalResponse::from_ingress(refusal))
    }

    fn finish_locally(&self, response: &LocalResponse) -> Response<ResponseBody> {
        self.metrics
            .ended
            .with_label_values(&[response.outcome.name()])
            .inc();
        let jitter = rand::rng().random_range(0.0..1.0);
        response.to_response(jitter).map(ResponseBody::Local)
    }

    async fn try_serve(
        &self,
        request: Request<ingress::Body>,
    ) -> Result<Response<ResponseBody>, LocalResponse> {
        let (head, incoming) = request.into_parts();
        let plan = self
            .plan(&head)
            .inspect_err(|_| self.metrics.rejected.inc())?;
        let mut body = ReplayableBody::open(incoming, self.body_limits(&plan))
            .await
            .inspect_err(|_| self.metrics.rejected.inc())?;
        plan.service.budget.lock().deposit();
        let mut state = RequestState {
            attempts: 0,
            avoid: None,
            claimed: None,
            may_have_run: false,
        };
        loop {
            let response = match self.attempt(&plan, &mut state, &head, &mut body).await {
                Attempt::Response(response) => return Ok(response),
                Attempt::NotRun(response) if body.is_consumed() => response,
                Attempt::NotRun(response) => {
                    if self.may_retry(&plan, &state, &response) {
                        continue;
                    }
                    response
                }
                Attempt::Unknown(response) => {
                    state.may_have_run = true;
                    let retry = plan.repeat && !body.is_consumed();
                    if retry && self.may_retry(&plan, &state, &response) {
                        continue;
                    }
                    response
                }
            };
            return Err(self.conclude(&plan, &state, response));
        }
    }

    /// Determines the final response to a failed request. It never says "not run" once
    /// the request may have run; otherwise the idempotency key is released.
    fn conclude(
        &self,
        plan: &Plan,
        state: &RequestState,
        mut response: LocalResponse,
    ) -> LocalResponse {
        if state.may_have_run {
            response.outcome = Outcome::Unknown;
            return response;
        }
        if let (Some(key), Some(claim)) = (&state.claimed, &plan.claim) {
            self.claims.release(key.clone(), claim);
        }
        response
    }

    fn plan(&self, head: &request::Parts) -> Result<Plan, LocalResponse> {
        headers::validate(&head.method, head.version, &head.headers)?;
        let rejected = LocalResponse::rejected;
        let (service, target) = request_head::split_target(&head.uri)
            .ok_or_else(|| rejected(StatusCode::BAD_REQUEST, "the path names no service"))?;
        let account = request_head::header(head, request_head::ACCOUNT).ok_or_else(|| {
            rejected(
                StatusCode::FORBIDDEN,
                "the header client-account is missing",
            )
        })?;
        let force = self.config.active();
        let (account, template) = force
            .templates
            .get_key_value(account)
            .ok_or_else(|| rejected(StatusCode::FORBIDDEN, "this client account is not known"))?;
        let known = template.services.get(service);
        let settings = known.ok_or_else(|| {
            rejected(
                StatusCode::NOT_FOUND,
                "the client account has no such service",
            )
        })?;
        let dispatcher = self.service(service).ok_or_else(|| {
            let reason = "the service is not open yet";
            LocalResponse::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, RETRY_AFTER)
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
            service: dispatcher,
            settings: settings.clone(),
            account: account.clone(),
            deadline: self.clock.now() + timeout,
            repeat,
            claim,
            target,
        })
    }

    fn body_limits(&self, plan: &Plan) -> BodyLimits {
        let remaining = plan.deadline.saturating_sub(self.clock.now());
        BodyLimits {
            max_bytes: self.settings.max_body_bytes,
            max_buffered_bytes: self.settings.max_replay_bytes,
            buffer_timeout: remaining,
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
            .nonce_base
            .wrapping_add(self.ids.fetch_add(1, Ordering::Relaxed));
        Ok(Some(Claim {
            account: account.clone(),
            key,
            nonce,
        }))
    }

    fn may_retry(&self, plan: &Plan, state: &RequestState, response: &LocalResponse) -> bool {
        // A refused admission is final; only failures at an endpoint are retried.
        let refused = response.status == StatusCode::TOO_MANY_REQUESTS || state.avoid.is_none();
        if refused || state.attempts >= ATTEMPTS_MAX || self.clock.now() >= plan.deadline {
            return false;
        }
        let allowed = plan.service.budget.lock().withdraw();
        if allowed {
            self.metrics.retries.inc();
        } else {
            self.metrics.retries_denied.inc();
        }
        allowed
    }

    async fn attempt(
        &self,
        plan: &Plan,
        state: &mut RequestState,
        head: &request::Parts,
        body: &mut ReplayableBody,
    ) -> Attempt {
        let avoid = state.avoid.take();
        state.attempts += 1;
        let mut slot = match plan
            .service
            .admit(self.admission_request(plan, avoid, body))
            .await
        {
            Admitted::Slot(slot) => slot,
            Admitted::Refused(refusal) => {
                return Attempt::NotRun(LocalResponse::from_refusal(refusal));
            }
            Admitted::TimedOut => {
                let reason = "no slot became free before the deadline";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return Attempt::NotRun(LocalResponse::not_run(status, reason, RETRY_AFTER));
            }
        };
        if let Err(response) = self.claim(plan, state).await {
            return Attempt::NotRun(response);
        }
        let Some(endpoint) = plan.service.endpoint(slot.endpoint) else {
            return Attempt::NotRun(unreachable_response());
        };
        state.avoid = Some(slot.endpoint);
        let Ok(connection) = plan.service.pool.checkout(endpoint.listing.address).await else {
            slot.set_result(RequestResult::Failure);
            return Attempt::NotRun(unreachable_response());
        };
        let limit = self.attempt_limit(plan, state, body);
        self.send(
            plan,
            head,
            body,
            Prepared {
                slot,
                connection,
                endpoint,
                limit,
            },
        )
        .await
    }

    fn admission_request(
        &self,
        plan: &Plan,
        avoid: Option<u64>,
        body: &ReplayableBody,
    ) -> AdmissionRequest {
        // A slot is held until the whole body has arrived, so complete requests go first.
        let class = if body.is_streamed() {
            Class::Batch
        } else {
            plan.settings.class
        };
        AdmissionRequest {
            id: self.ids.fetch_add(1, Ordering::Relaxed),
            account: plan.account.clone(),
            class,
            deadline: plan.deadline,
            max_in_flight: plan.settings.max_in_flight,
            max_queued: plan.settings.max_queued,
            avoid,
        }
    }

    async fn claim(&self, plan: &Plan, state: &mut RequestState) -> Result<(), LocalResponse> {
        let Some(claim) = plan.claim.as_ref().filter(|_| state.claimed.is_none()) else {
            return Ok(());
        };
        match self.claims.claim(claim.clone()).await {
            ClaimResult::Acquired(key) => {
                self.metrics.claimed.inc();
                state.claimed = Some(key);
                Ok(())
            }
            ClaimResult::AlreadyClaimed => {
                self.metrics.duplicates.inc();
                // This request is not sent, but the earlier one may have run.
                state.may_have_run = true;
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
                    RETRY_AFTER,
                ))
            }
        }
    }

    fn attempt_limit(&self, plan: &Plan, state: &RequestState, body: &ReplayableBody) -> Duration {
        let remaining = plan.deadline.saturating_sub(self.clock.now());
        let retryable =
            plan.repeat && matches!(body, ReplayableBody::Buffered(_)) && state.attempts == 1;
        if retryable {
            remaining.mul_f64(FIRST_ATTEMPT_SHARE)
        } else {
            remaining
        }
    }

    async fn send(
        &self,
        plan: &Plan,
        head: &request::Parts,
        body: &mut ReplayableBody,
        prepared: Prepared,
    ) -> Attempt {
        let Prepared {
            mut slot,
            mut connection,
            endpoint,
            limit,
        } = prepared;
        let progress = body.progress();
        let request = build_request(plan, head, body.take(self.settings.max_body_bytes));
        let exchange = connection.sender.try_send_request(request);
        let pending = plan.service.pool.begin_attempt(endpoint.listing.address);
        let waited = tokio::select! {
            waited = self.await_response(plan, limit, &pending, exchange) => waited,
            () = wait_for_stall(&plan.service, progress) => {
                pending.complete();
                slot.set_result(RequestResult::Ignored);
                return Attempt::Unknown(body_stalled_response(ingress::Refusal::BodyTooSlow));
            }
        };
        let answered = match waited {
            Ok(Ok(response)) => {
                pending.complete();
                response
            }
            Ok(Err(mut error)) => {
                pending.complete();
                slot.set_result(if is_callers_fault(error.error()) {
                    RequestResult::Ignored
                } else {
                    RequestResult::Failure
                });
                return match error.take_message() {
                    Some(request) => {
                        body.restore(request.into_body());
                        Attempt::NotRun(unreachable_response())
                    }
                    None => Attempt::Unknown(connection_failed_response(error.error())),
                };
            }
            Err(_) => {
                slot.set_result(RequestResult::Failure);
                self.metrics.unanswered.inc();
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
            Answered {
                slot,
                connection,
                endpoint,
            },
        )
    }

    /// Waits up to `limit` for a response. If the endpoint responds to other requests and
    /// connections as old as this one still get responses, it waits until the deadline:
    /// then the request itself is slow, and neither the endpoint nor the connection failed.
    async fn await_response<T>(
        &self,
        plan: &Plan,
        limit: Duration,
        pending: &PendingAttempt<'_>,
        exchange: impl Future<Output = T>,
    ) -> Result<T, time::error::Elapsed> {
        let mut exchange = pin!(exchange);
        let first = time::timeout(limit, exchange.as_mut()).await;
        if first.is_ok() || !pending.should_keep_waiting() {
            return first;
        }
        let remaining = plan.deadline.saturating_sub(self.clock.now());
        time::timeout(remaining, exchange).await
    }

    fn receive(&self, plan: &Plan, response: Response<Incoming>, answered: Answered) -> Attempt {
        let Answered {
            mut slot,
            connection,
            endpoint,
        } = answered;
        let (mut head, body) = response.into_parts();
        let service = &plan.service;
        let closes = headers::has_connection_close(&head.headers);
        if let Some(load) = headers::reported_load(&head.headers) {
            service.with_dispatch(|dispatch, now| dispatch.record_load(endpoint.id, load, now));
        }
        if head.status == StatusCode::SERVICE_UNAVAILABLE && reports_not_run(&head) {
            slot.set_result(RequestResult::Ignored);
            service.with_dispatch(|dispatch, now| dispatch.mark_leaving(endpoint.id, now));
            return Attempt::NotRun(unreachable_response());
        }
        // Only the gateway sets the outcome header; one from an endpoint is removed.
        head.headers.remove(outcome::HEADER);
        headers::strip_hop_by_hop(&mut head.headers);
        if let Ok(name) = HeaderValue::from_str(&endpoint.listing.name) {
            head.headers.insert(ENDPOINT_HEADER, name);
        }
        let failed = head.status.is_server_error();
        self.metrics
            .answered
            .with_label_values(&[status_class(head.status)])
            .inc();
        let exchange = Exchange {
            slot,
            connection,
            closes,
            failed,
            metrics: self.metrics.clone(),
        };
        let body = ResponseBody::stream(body, exchange, plan.settings.timeout);
        Attempt::Response(Response::from_parts(head, body))
    }
}

fn build_request(plan: &Plan, head: &request::Parts, body: RequestBody) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = plan.target.clone();
    request.headers_mut().clone_from(&head.headers);
    headers::strip_request(request.headers_mut());
    request
}

struct Prepared {
    slot: SlotGuard,
    connection: Connection,
    endpoint: Endpoint,
    limit: Duration,
}

struct Answered {
    slot: SlotGuard,
    connection: Connection,
    endpoint: Endpoint,
}

fn reports_not_run(head: &response::Parts) -> bool {
    let outcome = head.headers.get(outcome::HEADER);
    outcome.is_some_and(|outcome| outcome == Outcome::NotRun.name())
}

fn unreachable_response() -> LocalResponse {
    let reason = "no endpoint could be reached";
    LocalResponse::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, RETRY_AFTER)
}

fn connection_failed_response(error: &hyper::Error) -> LocalResponse {
    match callers_error(error) {
        Some(RequestBodyError::TooLarge) => {
            LocalResponse::unknown(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        }
        Some(RequestBodyError::Caller(ingress::BodyError::Refused(refusal))) => {
            body_stalled_response(*refusal)
        }
        _ => LocalResponse::unknown(StatusCode::BAD_GATEWAY, "the endpoint's connection failed"),
    }
}

/// Returns the response to a request whose body ended early. A part of it has been sent, so the
/// endpoint may have run the request.
fn body_stalled_response(refusal: ingress::Refusal) -> LocalResponse {
    LocalResponse {
        outcome: Outcome::Unknown,
        ..LocalResponse::from_ingress(refusal)
    }
}

/// Returns the error with which a caller's body ended an exchange with an endpoint.
fn callers_error(error: &hyper::Error) -> Option<&RequestBodyError> {
    std::error::Error::source(error)?.downcast_ref()
}

fn is_callers_fault(error: &hyper::Error) -> bool {
    callers_error(error).is_some()
}

/// Waits until a streamed body pauses while other requests wait for the slot that it holds.
async fn wait_for_stall(service: &ServiceDispatcher, progress: Option<ingress::Progress>) {
    let Some(progress) = progress else {
        return future::pending().await;
    };
    loop {
        time::sleep(STALL_CHECK_INTERVAL).await;
        let paused = progress.pause() >= STALL_MAX;
        if paused && service.with_dispatch(|dispatch, _| dispatch.waiting()) > 0 {
            return;
        }
    }
}

fn status_class(status: StatusCode) -> &'static str {
    match status.as_u16() {
        100..200 => "1xx",
        200..300 => "2xx",
        300..400 => "3xx",
        400..500 => "4xx",
        _ => "5xx",
    }
}
