//! Metrics of the clients that a listener refuses or disconnects.

use std::sync::atomic::{AtomicU64, Ordering};

use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

use super::limits::Capacity;

/// Why a client is refused or disconnected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The head is larger than the limit.
    HeadTooLarge,
    /// The head was not complete in time.
    HeadTooSlow,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body stopped, or came too slowly.
    BodyTooSlow,
    /// The budget of bytes is used up.
    Memory,
    /// There are too many connections.
    Connections,
    /// The connection was idle for too long.
    Idle,
    /// The client did not read its response.
    Unread,
    /// The process stops, and the request is unfinished.
    Stopping,
}

const REFUSALS: [Refusal; 9] = [
    Refusal::HeadTooLarge,
    Refusal::HeadTooSlow,
    Refusal::BodyTooLarge,
    Refusal::BodyTooSlow,
    Refusal::Memory,
    Refusal::Connections,
    Refusal::Idle,
    Refusal::Unread,
    Refusal::Stopping,
];

impl Refusal {
    /// Returns the label in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::HeadTooLarge => "head_size",
            Self::HeadTooSlow => "head_time",
            Self::BodyTooLarge => "body_size",
            Self::BodyTooSlow => "body_time",
            Self::Memory => "bytes",
            Self::Connections => "connections",
            Self::Idle => "idle",
            Self::Unread => "unread",
            Self::Stopping => "stopping",
        }
    }

    /// Reports whether it happens to clients inside the limits as well.
    fn is_usual(self) -> bool {
        matches!(self, Self::Idle | Self::Stopping)
    }
}

/// Counters of refused clients, and gauges of what all clients hold.
pub struct Metrics {
    refused: Vec<IntCounter>,
    /// Open connections.
    pub connections: IntGauge,
    bytes: IntGauge,
    reported: AtomicU64,
    listener: Box<str>,
}

impl Metrics {
    pub(super) fn register(
        registry: &Registry,
        subsystem: &str,
        capacity: &Capacity,
    ) -> Result<Self, prometheus::Error> {
        let opts = |name: &str, help: &str| {
            Opts::new(name, help)
                .namespace("ashtiller")
                .subsystem(subsystem)
        };
        let refused = IntCounterVec::new(
            opts(
                "clients_refused",
                "clients refused or disconnected, by limit",
            ),
            &["limit"],
        )?;
        let held = IntGaugeVec::new(
            opts(
                "clients_hold",
                "connections and bytes of unfinished requests, and the most allowed",
            ),
            &["what"],
        )?;
        registry.register(Box::new(refused.clone()))?;
        registry.register(Box::new(held.clone()))?;
        let most = |what: &str, number: usize| {
            let gauge = held.with_label_values(&[what]);
            gauge.set(i64::try_from(number).unwrap_or(i64::MAX));
        };
        most("connections_max", capacity.connections);
        most("bytes_max", capacity.bytes);
        Ok(Self {
            refused: REFUSALS
                .iter()
                .map(|refusal| refused.with_label_values(&[refusal.name()]))
                .collect(),
            connections: held.with_label_values(&["connections"]),
            bytes: held.with_label_values(&["bytes"]),
            reported: AtomicU64::new(0),
            listener: subsystem.into(),
        })
    }

    /// Counts a refused client.
    pub fn note(&self, refusal: Refusal) {
        self.refused[refusal as usize].inc();
    }

    pub(super) fn set_bytes(&self, used: usize) {
        self.bytes.set(i64::try_from(used).unwrap_or(i64::MAX));
    }

    /// Logs the counts if clients outside the limits were refused since the last line.
    pub(super) fn report(&self) {
        let unusual = REFUSALS.iter().filter(|refusal| !refusal.is_usual());
        let count = unusual
            .map(|refusal| self.refused[*refusal as usize].get())
            .sum();
        if self.reported.swap(count, Ordering::Relaxed) == count {
            return;
        }
        let counts: Vec<String> = REFUSALS
            .iter()
            .map(|refusal| {
                let count = self.refused[*refusal as usize].get();
                format!("{} {count}", refusal.name())
            })
            .collect();
        tracing::warn!(
            listener = &*self.listener,
            connections = self.connections.get(),
            bytes = self.bytes.get(),
            refused = counts.join(", "),
            "clients refused or disconnected"
        );
    }
}
