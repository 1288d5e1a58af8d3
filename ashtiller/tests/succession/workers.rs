//! A platform with one live worker, which carries out all orders.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::resources::Resources;
use ashtiller::store::CallFuture;
use ashtiller::workflow::agents::{
    Active, Order, OrderReply, Poll, PollReply, Start, Target, WorkerClient,
};
use ashtiller::workflow::config::{ListedWorker, OperatorEntry, PlatformCodec};
use ashtiller::workflow::machines::Wave;
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::{self, Instant};

/// Prefix of the workers' entries in the store.
const PREFIX: &str = "workers/";
/// Prefix of the operators' requests for upkeep waves.
pub const WAVE_PREFIX: &str = "operators/wave/";
/// Id of the live worker.
pub const LIVE: &str = "live";

/// Returns the key of the status of an upkeep wave.
pub fn wave_status_key(number: u64) -> String {
    format!("wave/{number}")
}

/// Returns the key and value of the live worker's entry.
pub fn entry() -> (String, Bytes) {
    (
        format!("{PREFIX}{LIVE}"),
        Bytes::from_static(b"10.0.0.1:9000"),
    )
}

/// The workers, with the start orders that they got.
pub struct Workers {
    opened: Instant,
    starts: Mutex<Vec<(Instant, Start)>>,
}

impl Workers {
    pub fn open() -> Arc<Self> {
        Arc::new(Self {
            opened: Instant::now(),
            starts: Mutex::default(),
        })
    }

    /// Returns the first start order that the live worker got, and its time.
    pub fn first_start(&self) -> Option<(Instant, Start)> {
        self.starts.lock().first().cloned()
    }

    /// Returns the reading of the live worker's clock.
    fn clock(&self) -> u64 {
        let elapsed = self.opened.elapsed().as_millis();
        u64::try_from(elapsed).expect("the clock should not overflow")
    }

    fn report(&self) -> PollReply {
        let starts = self.starts.lock();
        let active = starts.iter().map(|(_, start)| Active {
            name: start.name.clone(),
            run: start.run,
            checkpoint: "".into(),
            percent: 0,
            figure: None,
        });
        PollReply::Report {
            clock: self.clock(),
            active: active.collect(),
            finished: Vec::new(),
            more_ends: false,
        }
    }
}

/// Checks that a call is meant for the live worker.
fn check(step: &'static str, to: &Target) -> Result<(), Failure> {
    let refused = || Failure::no_effect(step, to.address, "connection refused");
    (to.incarnation.id() == LIVE)
        .then_some(())
        .ok_or_else(refused)
}

impl WorkerClient for Workers {
    fn order<'a>(&'a self, to: &'a Target, order: &'a Order) -> CallFuture<'a, OrderReply> {
        Box::pin(async move {
            check("order", to)?;
            if let Order::Start(start) = order {
                self.starts.lock().push((Instant::now(), start.clone()));
            }
            Ok(OrderReply::Done(self.clock()))
        })
    }

    fn poll<'a>(&'a self, to: &'a Target, poll: &'a Poll) -> CallFuture<'a, PollReply> {
        Box::pin(async move {
            check("look", to)?;
            time::sleep(poll.wait).await;
            Ok(self.report())
        })
    }
}

impl PlatformCodec for Workers {
    fn worker_prefix(&self) -> &'static str {
        PREFIX
    }

    fn worker(&self, key: &str, value: &[u8]) -> anyhow::Result<ListedWorker> {
        Ok(ListedWorker {
            incarnation: key.strip_prefix(PREFIX).unwrap_or(key).into(),
            machine: None,
            service: "fleet".into(),
            address: std::str::from_utf8(value)?.parse()?,
            zone: "bern".into(),
            capacity: Resources {
                processors: 4000,
                memory: 8 << 30,
                accelerators: 0,
            },
            labels: Arc::default(),
            draining: false,
            remaining: None,
        })
    }

    fn operator_prefix(&self) -> &'static str {
        "operators/"
    }

    fn operated(&self, key: &str, _: &[u8]) -> anyhow::Result<OperatorEntry> {
        let Some(number) = key.strip_prefix(WAVE_PREFIX) else {
            return Ok(OperatorEntry::Other);
        };
        Ok(OperatorEntry::Wave(Wave {
            number: number.parse()?,
            machines: Vec::new(),
            duration: Duration::from_mins(1),
            most: 1,
        }))
    }

    fn evacuated(&self, _: &str) -> Option<Arc<str>> {
        None
    }

    fn wave_status(&self, number: u64, _: bool) -> (String, Bytes) {
        (wave_status_key(number), Bytes::new())
    }
}
