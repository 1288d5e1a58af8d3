//! Client of the platform's key-value store and service catalog, over the published
//! Consul HTTP API (`/v1/kv`, `/v1/txn`, `/v1/session`, `/v1/catalog`).

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::endpoint::Phase;
use crate::failure::Failure;
use crate::resources::Resources;
use crate::service_catalog::{self, ServiceCatalog};
use crate::store::{CallFuture, Commit, Item, Store, View, Write};
use crate::unit;
use crate::web;

/// Time that a watch may take beyond its own wait before the call times out.
const WATCH_SLACK: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Pair {
    key: String,
    #[serde(default)]
    value: Option<String>,
    modify_index: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Session {
    #[serde(rename = "ID")]
    id: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TxnFailure {
    errors: Vec<TxnError>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TxnError {
    op_index: usize,
}

#[derive(Serialize)]
struct TxnOp<'a> {
    #[serde(rename = "KV")]
    kv: KvOp<'a>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct KvOp<'a> {
    verb: &'static str,
    key: &'a str,
    value: String,
    index: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CatalogEntry {
    node: String,
    service_address: String,
    service_port: u16,
    #[serde(default)]
    service_meta: BTreeMap<String, String>,
}

/// Counts of the calls made since the process started.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Reads and watches.
    pub reads: AtomicU64,
    /// Writes and lease calls.
    pub writes: AtomicU64,
    /// Calls that got no response, among the reads and writes.
    pub failed: AtomicU64,
}

/// A client of the key-value store and the service catalog.
pub struct Consul {
    address: SocketAddr,
    timeout: Duration,
    client: web::Client,
    calls: Arc<CallCounts>,
}

/// Creates a client; it connects with its first call. `timeout` bounds each call but a watch.
#[must_use]
pub fn open(address: SocketAddr, timeout: Duration) -> Arc<Consul> {
    Arc::new(Consul {
        address,
        timeout,
        client: web::Client::default(),
        calls: Arc::default(),
    })
}

impl Consul {
    /// Returns the counts of the calls made so far.
    #[must_use]
    pub fn calls(&self) -> &Arc<CallCounts> {
        &self.calls
    }

    async fn call(
        &self,
        step: &'static str,
        method: Method,
        target: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<web::Response, Failure> {
        let count = if method == Method::GET {
            &self.calls.reads
        } else {
            &self.calls.writes
        };
        count.fetch_add(1, Ordering::Relaxed);
        let response = self
            .client
            .call(step, self.address, method, target, body, timeout)
            .await;
        if response.is_err() {
            self.calls.failed.fetch_add(1, Ordering::Relaxed);
        }
        response
    }

    async fn read(
        &self,
        step: &'static str,
        target: &str,
        timeout: Duration,
    ) -> Result<View, Failure> {
        let response = self
            .call(step, Method::GET, target, Bytes::new(), timeout)
            .await?;
        let index = response.index.unwrap_or(0);
        match response.status {
            StatusCode::NOT_FOUND => Ok(View {
                items: Vec::new(),
                index,
            }),
            StatusCode::OK => {
                let pairs: Vec<Pair> = self.decode(step, &response.body)?;
                let items: Result<_, Failure> = pairs
                    .into_iter()
                    .map(|pair| self.item(step, pair))
                    .collect();
                Ok(View {
                    items: items?,
                    index,
                })
            }
            status => Err(Failure::no_effect(step, self.address, status)),
        }
    }

    fn decode<'a, T: Deserialize<'a>>(
        &self,
        step: &'static str,
        body: &'a [u8],
    ) -> Result<T, Failure> {
        serde_json::from_slice(body)
            .map_err(|error| Failure::unknown_effect(step, self.address, error))
    }

    fn item(&self, step: &'static str, pair: Pair) -> Result<Item, Failure> {
        let value = STANDARD
            .decode(pair.value.unwrap_or_default())
            .map_err(|error| Failure::no_effect(step, self.address, error))?;
        Ok(Item {
            key: pair.key.into(),
            value: value.into(),
            index: pair.modify_index,
        })
    }

    async fn write(
        &self,
        step: &'static str,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<bool, Failure> {
        let response = self.call(step, method, target, body, self.timeout).await?;
        match response.status {
            StatusCode::OK => Ok(response.body.trim_ascii() == b"true"),
            status => Err(Failure::unknown_effect(step, self.address, status)),
        }
    }
}

impl Store for Consul {
    fn get<'a>(&'a self, key: &'a str) -> CallFuture<'a, Option<Item>> {
        Box::pin(async move {
            let view = self
                .read("get", &format!("/v1/kv/{key}"), self.timeout)
                .await?;
            Ok(view.items.into_iter().next())
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> CallFuture<'a, View> {
        Box::pin(async move {
            self.read("list", &format!("/v1/kv/{prefix}?recurse"), self.timeout)
                .await
        })
    }

    fn watch<'a>(&'a self, prefix: &'a str, index: u64, wait: Duration) -> CallFuture<'a, View> {
        Box::pin(async move {
            let millis = wait.as_millis();
            let target = format!("/v1/kv/{prefix}?recurse&index={index}&wait={millis}ms");
            self.read("watch", &target, wait + WATCH_SLACK).await
        })
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        index: u64,
    ) -> CallFuture<'a, bool> {
        Box::pin(async move {
            self.write(
                "swap",
                Method::PUT,
                &format!("/v1/kv/{key}?cas={index}"),
                value,
            )
            .await
        })
    }

    fn commit<'a>(&'a self, writes: &'a [Write]) -> CallFuture<'a, Commit> {
        Box::pin(async move {
            let ops: Vec<TxnOp> = writes.iter().map(txn_op).collect();
            let body = serde_json::to_vec(&ops)
                .map_err(|error| Failure::no_effect("commit", self.address, error))?;
            let response = self
                .call("commit", Method::PUT, "/v1/txn", body.into(), self.timeout)
                .await?;
            match response.status {
                StatusCode::OK => Ok(Commit::Done),
                StatusCode::CONFLICT => {
                    let failure: TxnFailure = self.decode("commit", &response.body)?;
                    Ok(Commit::Conflict(
                        failure.errors.iter().map(|error| error.op_index).collect(),
                    ))
                }
                status => Err(Failure::unknown_effect("commit", self.address, status)),
            }
        })
    }

    fn remove<'a>(&'a self, key: &'a str, index: u64) -> CallFuture<'a, bool> {
        Box::pin(async move {
            let target = format!("/v1/kv/{key}?cas={index}");
            self.write("remove", Method::DELETE, &target, Bytes::new())
                .await
        })
    }

    fn remove_all<'a>(&'a self, prefix: &'a str) -> CallFuture<'a, ()> {
        Box::pin(async move {
            let target = format!("/v1/kv/{prefix}?recurse");
            self.write("remove all", Method::DELETE, &target, Bytes::new())
                .await
                .map(drop)
        })
    }

    fn open_lease(&self, ttl: Duration) -> CallFuture<'_, Arc<str>> {
        Box::pin(async move {
            let ttl = format!("{}ms", ttl.as_millis());
            let body = serde_json::json!({ "TTL": ttl, "Behavior": "delete" }).to_string();
            let target = "/v1/session/create";
            let response = self
                .call("lease", Method::PUT, target, body.into(), self.timeout)
                .await?;
            let session: Session = self.decode("lease", &response.body)?;
            Ok(session.id.into())
        })
    }

    fn renew<'a>(&'a self, lease: &'a str) -> CallFuture<'a, bool> {
        Box::pin(async move {
            let target = format!("/v1/session/renew/{lease}");
            let response = self
                .call("renew", Method::PUT, &target, Bytes::new(), self.timeout)
                .await?;
            match response.status {
                StatusCode::OK => Ok(true),
                StatusCode::NOT_FOUND => Ok(false),
                status => Err(Failure::unknown_effect("renew", self.address, status)),
            }
        })
    }

    fn revoke<'a>(&'a self, lease: &'a str) -> CallFuture<'a, ()> {
        Box::pin(async move {
            let target = format!("/v1/session/destroy/{lease}");
            self.write("revoke", Method::PUT, &target, Bytes::new())
                .await
                .map(drop)
        })
    }

    fn acquire<'a>(&'a self, key: &'a str, value: Bytes, lease: &'a str) -> CallFuture<'a, bool> {
        Box::pin(async move {
            let target = format!("/v1/kv/{key}?acquire={lease}");
            self.write("hold", Method::PUT, &target, value).await
        })
    }
}

impl ServiceCatalog for Consul {
    fn watch<'a>(
        &'a self,
        service: &'a str,
        index: u64,
        wait: Duration,
    ) -> CallFuture<'a, service_catalog::InstanceList> {
        Box::pin(async move {
            let millis = wait.as_millis();
            let target = format!("/v1/catalog/service/{service}?index={index}&wait={millis}ms");
            let timeout = if index == 0 {
                self.timeout
            } else {
                wait + WATCH_SLACK
            };
            let response = self
                .call("instances", Method::GET, &target, Bytes::new(), timeout)
                .await?;
            if response.status != StatusCode::OK {
                return Err(Failure::no_effect(
                    "instances",
                    self.address,
                    response.status,
                ));
            }
            let entries: Vec<CatalogEntry> = self.decode("instances", &response.body)?;
            let instances = entries.iter().filter_map(instance_of).collect();
            Ok(service_catalog::InstanceList {
                instances,
                index: response.index.unwrap_or(0),
            })
        })
    }
}

fn txn_op(write: &Write) -> TxnOp<'_> {
    let kv = match write {
        Write::CompareAndSwap { key, value, index } => KvOp {
            verb: "cas",
            key,
            value: STANDARD.encode(value),
            index: *index,
        },
        Write::CheckAbsent { key } => KvOp {
            verb: "check-not-exists",
            key,
            value: String::new(),
            index: 0,
        },
    };
    TxnOp { kv }
}

/// Converts a catalog entry; returns `None` when its address is not an IP address.
fn instance_of(entry: &CatalogEntry) -> Option<service_catalog::Instance> {
    let ip: IpAddr = entry.service_address.parse().ok()?;
    let meta = |name: &str| entry.service_meta.get(name).map_or("", String::as_str);
    let leaving = meta("state") == "leaving";
    Some(service_catalog::Instance {
        name: entry.node.as_str().into(),
        address: SocketAddr::new(ip, entry.service_port),
        phase: if leaving { Phase::Leaving } else { Phase::Live },
        zone: meta("zone").into(),
        rack: meta("rack").into(),
        slots: meta("slots").parse().unwrap_or(0),
        resources: Resources {
            processors: unit::parse_processors(meta("processors")).unwrap_or(0),
            memory: unit::parse_size(meta("memory")).unwrap_or(0),
            accelerators: meta("accelerators").parse().unwrap_or(0),
        },
    })
}
