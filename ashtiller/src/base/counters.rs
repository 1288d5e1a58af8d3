//! Registration of Prometheus counters and gauges under the name of the project and of a role.

use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

/// Registers the counters and gauges of one role.
pub struct Counters<'a> {
    registry: &'a Registry,
    role: &'static str,
}

impl<'a> Counters<'a> {
    /// Creates a registrar whose metric names begin with `ashtiller_ROLE_`.
    #[must_use]
    pub fn new(registry: &'a Registry, role: &'static str) -> Self {
        Self { registry, role }
    }

    fn opts(&self, name: &str, help: &str) -> Opts {
        Opts::new(name, help)
            .namespace("ashtiller")
            .subsystem(self.role)
    }

    /// Registers a counter.
    ///
    /// # Errors
    /// The name is invalid or registered already.
    pub fn register_counter(
        &self,
        name: &str,
        help: &str,
    ) -> Result<IntCounter, prometheus::Error> {
        let counter = IntCounter::with_opts(self.opts(name, help))?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Registers a family of counters with one label.
    ///
    /// # Errors
    /// The name is invalid or registered already.
    pub fn register_counter_vec(
        &self,
        name: &str,
        help: &str,
        label: &str,
    ) -> Result<IntCounterVec, prometheus::Error> {
        let counters = IntCounterVec::new(self.opts(name, help), &[label])?;
        self.registry.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    /// Registers a gauge.
    ///
    /// # Errors
    /// The name is invalid or registered already.
    pub fn register_gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        let gauge = IntGauge::with_opts(self.opts(name, help))?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Registers a family of gauges with labels.
    ///
    /// # Errors
    /// The name is invalid or registered already.
    pub fn register_gauge_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, prometheus::Error> {
        let gauges = IntGaugeVec::new(self.opts(name, help), labels)?;
        self.registry.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }
}
