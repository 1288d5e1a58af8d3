//! Counters and gauges, registered under the project's and a role's name.

use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

/// Registers one role's counters.
pub struct Counters<'a> {
    registry: &'a Registry,
    role: &'static str,
}

impl<'a> Counters<'a> {
    /// Counters named `ashtiller_ROLE_…`.
    #[must_use]
    pub fn new(registry: &'a Registry, role: &'static str) -> Self {
        Self { registry, role }
    }

    fn opts(&self, name: &str, help: &str) -> Opts {
        Opts::new(name, help)
            .namespace("ashtiller")
            .subsystem(self.role)
    }

    /// A counter.
    ///
    /// # Errors
    /// The name is registered already.
    pub fn register_counter(
        &self,
        name: &str,
        help: &str,
    ) -> Result<IntCounter, prometheus::Error> {
        let counter = IntCounter::with_opts(self.opts(name, help))?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Counters by one label.
    ///
    /// # Errors
    /// The name is registered already.
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

    /// A gauge.
    ///
    /// # Errors
    /// The name is registered already.
    pub fn register_gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        let gauge = IntGauge::with_opts(self.opts(name, help))?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Gauges by labels.
    ///
    /// # Errors
    /// The name is registered already.
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
