//! Stand-in for the platform's key-value service and its catalog.
//!
//! It implements the parts of the published Consul HTTP API that ashtiller uses: `/v1/kv`,
//! `/v1/txn`, `/v1/session` and `/v1/catalog/service`. The catalog lags by a configurable delay.
//! `PUT /fault` takes [`Switches`] as JSON; `PUT /catalog` replaces the catalog.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use parking_lot::{Mutex, MutexGuard};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time;

use crate::faults::{Faults, Switches};
use crate::keys::{KeySpace, TxnOp};
use crate::serve::{self, Answer, Call, Reply};

/// Interval of checks for expired sessions.
const SESSION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a waiting read of the catalog checks for a change.
const CATALOG_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait of a watch.
const WAIT_MAX: Duration = Duration::from_mins(5);

/// Instance in the catalog, in the format of the published API.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct CatalogEntry {
    /// Name of the instance.
    pub node: String,
    /// IP address.
    pub service_address: String,
    /// Port.
    pub service_port: u16,
    /// Free-form metadata: `state`, `zone`, `rack`, `slots`, `processors`, …
    pub service_meta: BTreeMap<String, String>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Pair {
    key: String,
    value: String,
    create_index: u64,
    modify_index: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTxnOp {
    #[serde(rename = "KV")]
    kv: WireTxnKv,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTxnKv {
    verb: String,
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    index: u64,
}

type Catalog = BTreeMap<String, Vec<CatalogEntry>>;

#[derive(Default)]
struct State {
    keys: KeySpace,
    saved: Option<KeySpace>,
    catalog: VecDeque<(Instant, Catalog)>,
    /// Number of superseded versions of the catalog.
    superseded: u64,
    session: u64,
    reads: u64,
    writes: u64,
}

/// Number of calls since the start; a waiting watch counts as one read.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct CallCounts {
    /// Reads and watches.
    pub reads: u64,
    /// Writes, transactions and session calls.
    pub writes: u64,
}

struct Shared {
    state: Mutex<State>,
    changed: Notify,
    faults: Faults,
    lag: Mutex<Duration>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }
}

/// Running key-value stand-in.
pub struct Store {
    server: serve::Server,
    shared: Arc<Shared>,
}

impl Store {
    /// Returns the address assigned by the kernel.
    #[must_use]
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address()
    }

    /// Returns the fault switches.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }

    /// Returns the number of calls since the start.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        let state = self.shared.lock();
        CallCounts {
            reads: state.reads,
            writes: state.writes,
        }
    }

    /// Replaces the instances of a service; the change is visible after the lag.
    pub fn set_instances(&self, service: &str, instances: Vec<CatalogEntry>) {
        let mut state = self.shared.lock();
        let mut catalog = state
            .catalog
            .back()
            .map(|(_, last)| last.clone())
            .unwrap_or_default();
        catalog.insert(service.to_owned(), instances);
        state.catalog.push_back((Instant::now(), catalog));
    }

    /// Sets the lag of the catalog.
    pub fn set_lag(&self, lag: Duration) {
        *self.shared.lag.lock() = lag;
    }

    /// Saves all keys for a later [`Store::restore`].
    pub fn save(&self) {
        let mut state = self.shared.lock();
        state.saved = Some(state.keys.clone());
    }

    /// Restores the saved keys, as a service restored from an old backup does.
    pub fn restore(&self) {
        let mut state = self.shared.lock();
        if let Some(saved) = state.saved.clone() {
            state.keys = saved;
        }
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Overwrites a key without any comparison, as data corruption does.
    pub fn overwrite(&self, key: &str, value: bytes::Bytes) {
        self.shared.lock().keys.put(key, value, None, None);
        self.shared.changed.notify_waiters();
    }

    /// Returns the keys and values below a prefix, in key order, for checks in tests.
    #[must_use]
    pub fn values(&self, prefix: &str) -> Vec<(String, bytes::Bytes)> {
        let state = self.shared.lock();
        state
            .keys
            .range(prefix)
            .map(|(key, item)| (key.clone(), item.value.clone()))
            .collect()
    }
}

/// Starts a key-value stand-in on `address`.
///
/// # Errors
/// Fails if the port cannot be bound.
pub async fn bind(address: &str) -> anyhow::Result<Store> {
    let shared = Arc::new(Shared {
        state: Mutex::default(),
        changed: Notify::new(),
        faults: Faults::default(),
        lag: Mutex::default(),
    });
    let server = serve::bind(address, {
        let shared = shared.clone();
        move |call| handle(shared.clone(), call)
    })
    .await?;
    tokio::spawn(expire_sessions(Arc::downgrade(&shared)));
    Ok(Store { server, shared })
}

async fn expire_sessions(shared: std::sync::Weak<Shared>) {
    let mut ticks = time::interval(SESSION_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        if shared.lock().keys.expire_sessions(Instant::now()) {
            shared.changed.notify_waiters();
        }
    }
}

async fn handle(shared: Arc<Shared>, call: Call) -> Reply {
    if call.path == "/fault" {
        return Reply::Send(shared.faults.set_from_request(&call));
    }
    let switches = shared.faults.get();
    if switches.down {
        return Reply::CloseConnection;
    }
    if switches.slow_ms > 0 {
        time::sleep(Duration::from_millis(switches.slow_ms)).await;
    }
    let write = call.method != "GET";
    {
        let mut state = shared.lock();
        state.writes += u64::from(write);
        state.reads += u64::from(!write);
    }
    let answer = route(&shared, &call).await;
    if write {
        shared.changed.notify_waiters();
        if shared.faults.take_lost_answer() || go_down(&shared, &call) {
            return Reply::CloseConnection;
        }
    }
    if shared.faults.get().down {
        return Reply::CloseConnection;
    }
    Reply::Send(answer)
}

/// Takes the stand-in down after a transaction if the switch is set; returns whether it did.
fn go_down(shared: &Shared, call: &Call) -> bool {
    let switches = shared.faults.get();
    let goes_down = switches.down_after_txn && call.path == "/v1/txn";
    if goes_down {
        shared.faults.set(Switches {
            down: true,
            ..Switches::default()
        });
    }
    goes_down
}

async fn route(shared: &Shared, call: &Call) -> Answer {
    let path = call.path.as_str();
    if let Some(key) = path.strip_prefix("/v1/kv/") {
        return match call.method.as_str() {
            "GET" => read(shared, call, key).await,
            "PUT" => put(shared, call, key),
            "DELETE" => {
                let cas = call.param("cas").and_then(|index| index.parse().ok());
                let done = shared
                    .lock()
                    .keys
                    .delete(key, call.param("recurse").is_some(), cas);
                serve::text(200, done.to_string())
            }
            _ => serve::text(405, "method not allowed"),
        };
    }
    if let Some(rest) = path.strip_prefix("/v1/session/") {
        return session(shared, call, rest);
    }
    if let Some(service) = path.strip_prefix("/v1/catalog/service/") {
        return catalog(shared, call, service).await;
    }
    match path {
        "/v1/txn" => txn(shared, call),
        "/catalog" => replace_catalog(shared, call),
        _ => serve::text(404, "not found"),
    }
}

async fn read(shared: &Shared, call: &Call, key: &str) -> Answer {
    let index: u64 = call
        .param("index")
        .and_then(|index| index.parse().ok())
        .unwrap_or(0);
    let wait = call
        .param("wait")
        .and_then(parse_wait)
        .unwrap_or(WAIT_MAX)
        .min(WAIT_MAX);
    let until = time::Instant::now() + wait;
    loop {
        let changed = shared.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let (newest, pairs) = collect(shared, key, call.param("recurse").is_some());
        let is_new = newest != index && !shared.faults.get().stuck;
        if index == 0 || is_new {
            return pairs_answer(newest, &pairs);
        }
        if time::timeout_at(until, changed).await.is_err() {
            return pairs_answer(newest, &pairs);
        }
    }
}

fn collect(shared: &Shared, key: &str, recurse: bool) -> (u64, Vec<Pair>) {
    let state = shared.lock();
    let items: Vec<_> = if recurse {
        state.keys.range(key).collect()
    } else {
        state
            .keys
            .range(key)
            .take_while(|(name, _)| name.as_str() == key)
            .collect()
    };
    let pairs = items
        .into_iter()
        .map(|(name, item)| Pair {
            key: name.clone(),
            value: STANDARD.encode(&item.value),
            create_index: item.created,
            modify_index: item.modified,
            session: item.session.clone(),
        })
        .collect();
    (state.keys.latest_revision(key), pairs)
}

fn pairs_answer(newest: u64, pairs: &[Pair]) -> Answer {
    let mut answer = if pairs.is_empty() {
        serve::text(404, "")
    } else {
        serve::json(&pairs)
    };
    answer.headers_mut().insert("x-consul-index", newest.into());
    answer
}

fn parse_wait(text: &str) -> Option<Duration> {
    if let Some(millis) = text.strip_suffix("ms") {
        return millis.parse().ok().map(Duration::from_millis);
    }
    text.strip_suffix('s')?
        .parse()
        .ok()
        .map(Duration::from_secs)
}

fn put(shared: &Shared, call: &Call, key: &str) -> Answer {
    let cas = call.param("cas").and_then(|index| index.parse().ok());
    let done = shared
        .lock()
        .keys
        .put(key, call.body.clone(), cas, call.param("acquire"));
    serve::text(200, done.to_string())
}

fn session(shared: &Shared, call: &Call, rest: &str) -> Answer {
    let mut state = shared.lock();
    let now = Instant::now();
    match rest.split_once('/') {
        None if rest == "create" => {
            let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap_or_default();
            let ttl = body["TTL"]
                .as_str()
                .and_then(parse_wait)
                .unwrap_or(Duration::from_secs(10));
            state.session += 1;
            let id = format!("session-{}", state.session);
            state.keys.open_session(&id, ttl, now);
            serve::json(&serde_json::json!({ "ID": id }))
        }
        Some(("renew", id)) if state.keys.renew(id, now) => serve::text(200, "[]"),
        Some(("destroy", id)) => {
            state.keys.end_session(id);
            serve::text(200, "true")
        }
        _ => serve::text(404, "session not found"),
    }
}

fn txn(shared: &Shared, call: &Call) -> Answer {
    let ops: Vec<WireTxnOp> = match serde_json::from_slice(&call.body) {
        Ok(ops) => ops,
        Err(error) => return serve::text(400, error.to_string()),
    };
    let ops: Result<Vec<TxnOp>, String> = ops.into_iter().map(|op| op_from(op.kv)).collect();
    let ops = match ops {
        Ok(ops) => ops,
        Err(error) => return serve::text(400, error),
    };
    let failed = shared.lock().keys.commit(&ops);
    if failed.is_empty() {
        return serve::json(&serde_json::json!({ "Results": [], "Errors": null }));
    }
    let errors: Vec<_> = failed
        .iter()
        .map(|position| serde_json::json!({ "OpIndex": position, "What": "comparison failed" }))
        .collect();
    let mut answer = serve::json(&serde_json::json!({ "Errors": errors }));
    *answer.status_mut() = hyper::StatusCode::CONFLICT;
    answer
}

fn op_from(kv: WireTxnKv) -> Result<TxnOp, String> {
    match kv.verb.as_str() {
        "cas" => {
            let value = STANDARD
                .decode(&kv.value)
                .map_err(|error| error.to_string())?;
            Ok(TxnOp::Cas {
                key: kv.key,
                value: value.into(),
                index: kv.index,
            })
        }
        "check-not-exists" => Ok(TxnOp::Absent { key: kv.key }),
        verb => Err(format!("verb {verb} is not supported")),
    }
}

/// Answers a blocking read of the catalog; its index is the number of the visible version.
async fn catalog(shared: &Shared, call: &Call, service: &str) -> Answer {
    let index: u64 = call
        .param("index")
        .and_then(|index| index.parse().ok())
        .unwrap_or(0);
    let wait = call
        .param("wait")
        .and_then(parse_wait)
        .unwrap_or(WAIT_MAX)
        .min(WAIT_MAX);
    let until = time::Instant::now() + wait;
    loop {
        let (version, instances) = visible_instances(shared, service);
        if index == 0 || version != index || time::Instant::now() >= until {
            let mut answer = serve::json(&instances);
            answer
                .headers_mut()
                .insert("x-consul-index", version.into());
            return answer;
        }
        // The catalog lags, so a change becomes visible after a time and not with an event.
        time::sleep(CATALOG_CHECK_INTERVAL).await;
    }
}

/// Returns the number of the visible catalog version and the instances of a service in it.
fn visible_instances(shared: &Shared, service: &str) -> (u64, Vec<CatalogEntry>) {
    let lag = *shared.lag.lock();
    let mut state = shared.lock();
    let now = Instant::now();
    while state.catalog.len() > 1 && state.catalog[1].0 + lag <= now {
        state.catalog.pop_front();
        state.superseded += 1;
    }
    let first = state.catalog.front().filter(|(at, _)| *at + lag <= now);
    let instances = first.and_then(|(_, catalog)| catalog.get(service)).cloned();
    (
        state.superseded + 1 + u64::from(first.is_some()),
        instances.unwrap_or_default(),
    )
}

fn replace_catalog(shared: &Shared, call: &Call) -> Answer {
    match serde_json::from_slice::<Catalog>(&call.body) {
        Ok(catalog) => {
            shared.lock().catalog.push_back((Instant::now(), catalog));
            serve::text(200, "true")
        }
        Err(error) => serve::text(400, error.to_string()),
    }
}
