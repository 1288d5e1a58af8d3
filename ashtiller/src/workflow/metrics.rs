//! Prometheus metrics of an entry instance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGaugeVec, Opts,
    Registry,
};

use crate::build_info;
use crate::web;
use crate::workflow::congestion::Congestion;
use crate::workflow::core::Counts;
use crate::workflow::core::eligibility::Eligibility;
use crate::workflow::core::lease_waits::{HeldRuns, LeaseHold, LeaseWait};
use crate::workflow::core::reserve::ReserveSummary;
use crate::workflow::core::round_report::FreeProcessors;
use crate::workflow::core::run_times::RunTimeRatio;
use crate::workflow::core::suspicion_report::{SuspicionSummary, TrialWait};
use crate::workflow::core::times::TimeBreakdown;
use crate::workflow::core::wait_report::WaitSummary;
use crate::workflow::message::Reply;
use crate::workflow::shares::ledger::{Share, ShareKey};
use crate::workflow::traffic;

/// Bucket bounds of the histograms in seconds: from a call within a zone to the wait of a client.
const BOUNDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// Bucket bounds in seconds of the waits for leases: from the shortest lease to the longest wait
/// for those of unknown owners and for late starts.
const LEASE_WAIT_BOUNDS: [f64; 8] = [2.0, 4.0, 6.0, 7.0, 9.0, 13.0, 18.0, 25.0];

/// Bucket bounds in seconds of the waits for trials: long-running tasks are to run within 3 s, and
/// waited for up to 40 s where trials were many.
const TRIAL_WAIT_BOUNDS: [f64; 9] = [0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 6.0, 15.0, 40.0];

/// Bucket bounds of the ratios of actual to predicted run times: estimates are off by a factor
/// between 0.1 and 1.9, and some runs take seven times as long as others.
const RATIO_BOUNDS: [f64; 10] = [0.25, 0.5, 0.7, 0.85, 1.15, 1.4, 2.0, 4.0, 7.0, 12.0];
/// Most queues and origins with gauges of their own.
const SHARES_MAX: usize = 200;

/// Metrics of runs on silent workers.
pub struct LeaseMetrics {
    held: IntGaugeVec,
    waits: HistogramVec,
}

impl LeaseMetrics {
    fn open(registry: &Registry) -> Result<Self, prometheus::Error> {
        let held = opts(
            "held_runs",
            "runs on silent workers whose leases have not expired",
        );
        let waits = opts(
            "lease_wait_seconds",
            "time from the last answer of a lost worker until its lasting tasks may start elsewhere",
        );
        let waits = HistogramOpts::from(waits).buckets(LEASE_WAIT_BOUNDS.to_vec());
        let metrics = Self {
            held: IntGaugeVec::new(held, &["hold"])?,
            waits: HistogramVec::new(waits, &["hold"])?,
        };
        registry.register(Box::new(metrics.held.clone()))?;
        registry.register(Box::new(metrics.waits.clone()))?;
        Ok(metrics)
    }

    /// Sets the gauge of runs on silent workers.
    pub fn note_held_runs(&self, held: &BTreeMap<LeaseHold, HeldRuns>) {
        self.held.reset();
        for (hold, sum) in held {
            let runs = self.held.with_label_values(&[hold.name()]);
            runs.set(sum.runs.into());
        }
    }

    /// Records a wait of long-running tasks for leases, once for each task.
    pub fn note_wait(&self, wait: &LeaseWait) {
        let waits = self.waits.with_label_values(&[wait.hold.name()]);
        for _ in 0..wait.tasks {
            waits.observe(wait.waited.as_secs_f64());
        }
    }
}

/// Metrics of tasks that are suspected of crashing workers.
pub struct SuspicionMetrics {
    suspects: IntGaugeVec,
    trials: IntGaugeVec,
    waits: HistogramVec,
}

impl SuspicionMetrics {
    fn open(registry: &Registry) -> Result<Self, prometheus::Error> {
        let waits = opts(
            "suspect_wait_seconds",
            "time from the end of a strongly suspected task's run until it gets the next one",
        );
        let waits = HistogramOpts::from(waits).buckets(TRIAL_WAIT_BOUNDS.to_vec());
        let metrics = Self {
            suspects: gauges(
                "suspects",
                "tasks suspected of crashing workers: all, the strongly suspected ones, and those of them that wait",
                &["what"],
            )?,
            trials: gauges(
                "trials",
                "workers that hold a trial of a suspected task, and their free processors",
                &["what"],
            )?,
            waits: HistogramVec::new(waits, &["kind"])?,
        };
        registry.register(Box::new(metrics.suspects.clone()))?;
        registry.register(Box::new(metrics.trials.clone()))?;
        registry.register(Box::new(metrics.waits.clone()))?;
        Ok(metrics)
    }

    /// Sets the gauges of suspected tasks and of their trials.
    pub fn note_summary(&self, summary: &SuspicionSummary) {
        for (what, tasks) in [
            ("all", summary.suspects),
            ("strong", summary.strong),
            ("waiting", summary.waiting),
            ("waiting_lasting", summary.waiting_long_running),
        ] {
            self.suspects.with_label_values(&[what]).set(tasks.into());
        }
        let withheld = i64::try_from(summary.withheld / 1000).unwrap_or(i64::MAX);
        for (what, figure) in [
            ("workers", summary.trial_workers.into()),
            ("withheld_processors", withheld),
        ] {
            self.trials.with_label_values(&[what]).set(figure);
        }
    }

    /// Records how long a strongly suspected task waited for its run.
    pub fn note_wait(&self, wait: &TrialWait) {
        let kind = if wait.long_running {
            "lasting"
        } else {
            "short"
        };
        let waits = self.waits.with_label_values(&[kind]);
        waits.observe(wait.waited.as_secs_f64());
    }
}

/// Metrics of placement rounds and of the capacity that they find.
pub struct PlacementMetrics {
    rounds: Histogram,
    free: IntGaugeVec,
}

impl PlacementMetrics {
    fn open(registry: &Registry) -> Result<Self, prometheus::Error> {
        let rounds = histogram(
            "round_seconds",
            "time of a step of the owner with a placement round",
        );
        let free = opts(
            "free_processors",
            "free processors of workers that may get runs: all, the most on one worker, and tasks of a size that fit",
        );
        let metrics = Self {
            rounds: Histogram::with_opts(rounds)?,
            free: IntGaugeVec::new(free, &["service", "what"])?,
        };
        registry.register(Box::new(metrics.rounds.clone()))?;
        registry.register(Box::new(metrics.free.clone()))?;
        Ok(metrics)
    }

    /// Records the time of a step of the owner with a placement round.
    pub fn note_round(&self, took: Duration) {
        self.rounds.observe(took.as_secs_f64());
    }

    /// Sets the gauges of free processors, in whole processors and in tasks of some sizes.
    pub fn note_free_processors(&self, services: &BTreeMap<Arc<str>, FreeProcessors>) {
        self.free.reset();
        for (service, free) in services {
            let gauge = |what: &str, figure: u64| {
                let gauge = self.free.with_label_values(&[&**service, what]);
                gauge.set(i64::try_from(figure).unwrap_or(i64::MAX));
            };
            gauge("all", free.total / 1000);
            gauge("largest", free.largest / 1000);
            for (size, pieces) in free.sizes() {
                gauge(&format!("tasks_of_{size}"), pieces);
            }
        }
    }
}

/// Metrics of what the log holds.
pub struct LogMetrics {
    refused: IntCounter,
    learned: IntGaugeVec,
}

impl LogMetrics {
    fn open(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            refused: counter(
                "refused_entries",
                "entries of the log that the store refuses, however often they are written",
            )?,
            learned: gauges(
                "learned_bytes",
                "bytes of what the owner has learned, as the log holds it",
                &["what"],
            )?,
        };
        registry.register(Box::new(metrics.refused.clone()))?;
        registry.register(Box::new(metrics.learned.clone()))?;
        Ok(metrics)
    }

    /// Counts an entry of the log that the store refuses.
    pub fn note_refused_entry(&self) {
        self.refused.inc();
    }

    /// Sets the gauges of the bytes of learned values.
    pub fn note_learned(&self, sizes: &[(&str, usize)]) {
        for (what, bytes) in sizes {
            let gauge = self.learned.with_label_values(&[*what]);
            gauge.set(i64::try_from(*bytes).unwrap_or(i64::MAX));
        }
    }
}

/// Metrics of one process.
pub struct Metrics {
    registry: Registry,
    calls: HistogramVec,
    answers: IntCounterVec,
    orders: HistogramVec,
    commits: Histogram,
    takeovers: Histogram,
    times: HistogramVec,
    run_time_ratios: HistogramVec,
    events: IntCounterVec,
    leases: LeaseMetrics,
    suspicion: SuspicionMetrics,
    placement: PlacementMetrics,
    waiting: IntGaugeVec,
    waited: GaugeVec,
    workers: IntGaugeVec,
    reserve: IntGaugeVec,
    pressure: GaugeVec,
    shares: GaugeVec,
    silent: IntCounter,
    unreadable: IntCounter,
    room_refusals: IntCounter,
    log: LogMetrics,
    build: IntGaugeVec,
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help)
        .namespace("ashtiller")
        .subsystem("entry")
}

fn counter(name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    IntCounter::with_opts(opts(name, help))
}

fn gauges(name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec, prometheus::Error> {
    IntGaugeVec::new(opts(name, help), labels)
}

fn histogram(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::from(opts(name, help)).buckets(BOUNDS.to_vec())
}

impl Metrics {
    /// Creates the metrics in a registry of their own.
    ///
    /// # Errors
    /// Fails if two metrics have the same name.
    pub fn open() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Self {
            leases: LeaseMetrics::open(&registry)?,
            suspicion: SuspicionMetrics::open(&registry)?,
            placement: PlacementMetrics::open(&registry)?,
            log: LogMetrics::open(&registry)?,
            calls: HistogramVec::new(
                histogram("call_seconds", "time to answer a client"),
                &["call"],
            )?,
            answers: IntCounterVec::new(
                opts("answers", "answers to clients"),
                &["call", "answer"],
            )?,
            orders: HistogramVec::new(
                histogram("order_seconds", "time of a worker's answer"),
                &["order"],
            )?,
            commits: Histogram::with_opts(histogram(
                "commit_seconds",
                "time to make an entry durable",
            ))?,
            takeovers: Histogram::with_opts(histogram(
                "takeover_seconds",
                "time from owning the log to its replay",
            ))?,
            times: HistogramVec::new(
                histogram("job_seconds", "where the time of jobs that ended went"),
                &["part"],
            )?,
            run_time_ratios: HistogramVec::new(
                HistogramOpts::from(opts(
                    "run_time_ratio",
                    "run times of tasks divided by the client's estimate and by the learned time",
                ))
                .buckets(RATIO_BOUNDS.to_vec()),
                &["class", "to"],
            )?,
            events: IntCounterVec::new(
                opts("events", "what the owner of the log did"),
                &["event"],
            )?,
            waiting: gauges("waiting_tasks", "tasks that wait for a worker", &["kind"])?,
            waited: GaugeVec::new(
                opts("waiting_seconds", "longest wait of a step for workers"),
                &["kind"],
            )?,
            workers: gauges(
                "workers",
                "workers that may get runs, and why others may not",
                &["gate"],
            )?,
            reserve: gauges(
                "reserve",
                "gaps for short tasks: demanded, reserved and present, and long-running steps held back",
                &["service", "what"],
            )?,
            pressure: GaugeVec::new(
                opts(
                    "pressure",
                    "orders that may be and are under way, usual delay in seconds, relays and calls over them",
                ),
                &["what"],
            )?,
            shares: GaugeVec::new(
                opts(
                    "share",
                    "part of the capacity of a service that a queue and origin use, used and wait for",
                ),
                &["service", "class", "queue", "origin", "what"],
            )?,
            silent: counter(
                "silent_links",
                "connections to peers that went silent while new ones worked",
            )?,
            room_refusals: counter(
                "submissions_refused_for_room",
                "submissions refused because those that wait for the owner take too much memory",
            )?,
            unreadable: counter(
                "unreadable_entries",
                "entries of workers in the store that cannot be read",
            )?,
            build: gauges(
                "build_info",
                "1 for the version and the commit that is running",
                &["version", "commit", "modified"],
            )?,
            registry,
        };
        metrics.set_build_info();
        for collector in metrics.collectors() {
            metrics.registry.register(collector)?;
        }
        Ok(metrics)
    }

    fn set_build_info(&self) {
        let build = build_info::get();
        let labels = [
            build.version,
            build.commit_name(),
            &build.modified.to_string(),
        ];
        self.build.with_label_values(&labels).set(1);
    }

    /// Returns the metrics to be registered.
    fn collectors(&self) -> Vec<Box<dyn prometheus::core::Collector>> {
        let [messages, bytes] = traffic::counters();
        vec![
            Box::new(self.unreadable.clone()),
            Box::new(self.room_refusals.clone()),
            Box::new(self.calls.clone()),
            Box::new(self.answers.clone()),
            Box::new(self.orders.clone()),
            Box::new(self.commits.clone()),
            Box::new(self.takeovers.clone()),
            Box::new(self.times.clone()),
            Box::new(self.run_time_ratios.clone()),
            Box::new(self.events.clone()),
            Box::new(self.waiting.clone()),
            Box::new(self.waited.clone()),
            Box::new(self.workers.clone()),
            Box::new(self.reserve.clone()),
            Box::new(self.pressure.clone()),
            Box::new(self.shares.clone()),
            Box::new(web::silent_connections()),
            Box::new(messages),
            Box::new(bytes),
            Box::new(self.silent.clone()),
            Box::new(self.build.clone()),
        ]
    }

    /// Returns the registry, for the operators' endpoint.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the counter of peer connections that stopped answering while new ones worked.
    #[must_use]
    pub fn silent_links(&self) -> IntCounter {
        self.silent.clone()
    }

    /// Counts a submission for which there is no memory beside those that wait for the owner.
    pub fn note_room_refusal(&self) {
        self.room_refusals.inc();
    }

    /// Returns the metrics of the log.
    #[must_use]
    pub fn log(&self) -> &LogMetrics {
        &self.log
    }

    /// Records the reply to a client's call.
    pub fn note_call(&self, call: &str, reply: &Reply, took: Duration) {
        let answer = match reply {
            Reply::Accepted => "accepted",
            Reply::State(_) | Reply::Pending(_) => "told",
            Reply::Missing => "missing",
            Reply::Refused(_) => "refused",
            Reply::Invalid(_) => "invalid",
            _ => "unknown",
        };
        self.calls
            .with_label_values(&[call])
            .observe(took.as_secs_f64());
        self.answers.with_label_values(&[call, answer]).inc();
    }

    /// Records the time of a worker's answer, or of the timeout.
    pub fn note_order(&self, order: &str, took: Duration) {
        self.orders
            .with_label_values(&[order])
            .observe(took.as_secs_f64());
    }

    /// Records the time in which a log entry became durable.
    pub fn note_commit(&self, took: Duration) {
        self.commits.observe(took.as_secs_f64());
    }

    /// Records the time from gaining ownership of the log to the end of its replay.
    pub fn note_takeover(&self, took: Duration) {
        self.takeovers.observe(took.as_secs_f64());
    }

    /// Records where the time of an ended job went.
    pub fn note_times(&self, times: &TimeBreakdown) {
        let parts = [
            ("room", times.waiting),
            ("answer", times.start_delay),
            ("send", times.send_delay),
            ("work", times.work),
            ("paced", times.throttled),
        ];
        for (part, took) in parts {
            self.times
                .with_label_values(&[part])
                .observe(took.as_secs_f64());
        }
    }

    /// Records how far a run time was from the client's estimate and from the learned time.
    pub fn note_run_time_ratio(&self, ratio: &RunTimeRatio) {
        for (to, value) in [
            ("estimate", ratio.to_estimate),
            ("learned", ratio.to_learned),
        ] {
            self.run_time_ratios
                .with_label_values(&[ratio.class.name(), to])
                .observe(value);
        }
    }

    /// Sets the gauges of waiting tasks and of workers by whether they may get runs.
    pub fn note_waits(&self, waits: &[(&str, WaitSummary)], gates: &BTreeMap<Eligibility, u32>) {
        for (kind, waits) in waits {
            let tasks = self.waiting.with_label_values(&[*kind]);
            tasks.set(waits.tasks.into());
            let longest = self.waited.with_label_values(&[*kind]);
            longest.set(waits.longest.as_secs_f64());
        }
        self.workers.reset();
        for (gate, count) in gates {
            let workers = self.workers.with_label_values(&[gate.name()]);
            workers.set((*count).into());
        }
    }

    /// Sets the gauges of the capacity reserve from the gaps that each service's whole demand needs.
    pub fn note_reserve(&self, reserves: &[ReserveSummary], held: usize) {
        self.reserve.reset();
        let gauge = |service: &str, what: &str, figure: u64| {
            let gauge = self.reserve.with_label_values(&[service, what]);
            gauge.set(i64::try_from(figure).unwrap_or(i64::MAX));
        };
        for reserve in reserves.iter().filter(|it| it.covers_all) {
            gauge(&reserve.service, "wanted", reserve.wanted);
            gauge(&reserve.service, "reserved", reserve.reserved);
            gauge(&reserve.service, "present", reserve.present);
        }
        gauge("", "held_steps", held as u64);
    }

    /// Returns the metrics of placement rounds.
    #[must_use]
    pub fn placement(&self) -> &PlacementMetrics {
        &self.placement
    }

    /// Returns the metrics of runs on silent workers.
    #[must_use]
    pub fn leases(&self) -> &LeaseMetrics {
        &self.leases
    }

    /// Returns the metrics of suspected tasks.
    #[must_use]
    pub fn suspicion(&self) -> &SuspicionMetrics {
        &self.suspicion
    }

    /// Sets the gauges of orders in flight and of relayed calls.
    #[expect(clippy::cast_precision_loss, reason = "counts for a gauge")]
    pub fn note_pressure(&self, pressure: &Congestion, relays: usize, relayed: u64) {
        let figures = [
            ("window", pressure.window()),
            ("under_way", pressure.under_way() as f64),
            ("usual_seconds", pressure.usual().as_secs_f64()),
            ("relays", relays as f64),
            ("relayed_calls", relayed as f64),
        ];
        for (what, figure) in figures {
            self.pressure.with_label_values(&[what]).set(figure);
        }
    }

    /// Sets the gauges of the shares of queues and origins; a whole queue has the origin `*`.
    pub fn note_shares<'a>(&self, shares: impl Iterator<Item = (&'a ShareKey, &'a Share)>) {
        self.shares.reset();
        for (key, share) in shares.take(SHARES_MAX) {
            let origin = key.origin.as_deref().unwrap_or("*");
            for (what, figure) in [
                ("used", share.used),
                ("past", share.past),
                ("waiting", share.waiting),
            ] {
                let labels = [&*key.service, key.class.name(), &*key.queue, origin, what];
                self.shares.with_label_values(&labels).set(figure);
            }
        }
    }

    /// Resets the gauges that only the owner of the log sets.
    pub fn forget_waits(&self) {
        self.leases.held.reset();
        self.suspicion.suspects.reset();
        self.suspicion.trials.reset();
        self.waiting.reset();
        self.waited.reset();
        self.workers.reset();
        self.reserve.reset();
        self.placement.free.reset();
        self.pressure.reset();
        self.shares.reset();
    }

    /// Counts an entry of a worker that cannot be decoded.
    pub fn note_unread(&self) {
        self.unreadable.inc();
    }

    /// Adds the difference of two counter states of the state machine; the counters only increase
    /// while this process owns the log.
    pub fn note_counts(&self, before: &Counts, now: &Counts) {
        let changes = [
            ("accepted", now.accepted - before.accepted),
            ("placed", now.placed - before.placed),
            ("done", now.done - before.done),
            ("failed", now.failed - before.failed),
            ("stopped", now.stopped - before.stopped),
            ("lost", now.lost - before.lost),
            ("looks", now.looks - before.looks),
            ("orders", now.orders - before.orders),
            ("entries", now.entries - before.entries),
            ("restarts", now.restarts - before.restarts),
            ("unconfirmed", now.unconfirmed - before.unconfirmed),
            ("crashes", now.crashes - before.crashes),
            (
                "proved_replaced",
                now.proved_replaced - before.proved_replaced,
            ),
            ("proved_gone", now.proved_gone - before.proved_gone),
            ("proved_down", now.proved_down - before.proved_down),
            ("convicted", now.convicted - before.convicted),
            ("absolved", now.absolved - before.absolved),
            ("explained", now.explained - before.explained),
            ("reordered", now.reordered - before.reordered),
            ("refused", now.refused - before.refused),
            (
                "refused_for_memory",
                now.refused_for_memory - before.refused_for_memory,
            ),
            ("refused_early", now.refused_early - before.refused_early),
            ("readmitted", now.readmitted - before.readmitted),
            (
                "useless_tickets",
                now.useless_tickets - before.useless_tickets,
            ),
            ("promoted", now.promoted - before.promoted),
            ("defragmented", now.defragmented - before.defragmented),
            ("rounds", now.rounds - before.rounds),
            ("limited_rounds", now.limited_rounds - before.limited_rounds),
            ("steps_examined", now.steps_examined - before.steps_examined),
            (
                "candidates_compared",
                now.candidates_compared - before.candidates_compared,
            ),
        ];
        for (event, change) in changes {
            self.events.with_label_values(&[event]).inc_by(change);
        }
    }
}
