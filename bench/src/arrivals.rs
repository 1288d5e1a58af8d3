//! Arrivals and service times, the same for every policy of a comparison.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Spread of the logarithm of service times: a heavy tail, p99 six times the mean.
const SIGMA: f64 = 1.0;
/// Longest service time, as a multiple of the mean.
const LONGEST: f64 = 40.0;
/// Depth of a load wave around its mean.
const WAVE_DEPTH: f64 = 0.2;
/// Length of a load wave.
const WAVE_LENGTH: f64 = 2.0;

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it comes, since the start.
    pub at: Duration,
    /// How long it holds a slot.
    pub service: Duration,
    /// Gateway that the balancer picks.
    pub gateway: usize,
}

/// What arrives.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests a second.
    pub rate: f64,
    /// Mean service time.
    pub mean: Duration,
    /// Length of the run.
    pub length: Duration,
    /// Number of gateways.
    pub gateways: usize,
    /// Whether the first gateway gets twice its share.
    pub skew: bool,
    /// Whether the rate swings.
    pub wave: bool,
}

/// Draws the arrivals of a load; the same seed draws the same.
pub fn draw(load: &Load, seed: u128) -> Vec<Arrival> {
    let mut rng = Pcg64Mcg::new(seed | 1);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    let peak = if load.wave {
        load.rate * (1.0 + WAVE_DEPTH)
    } else {
        load.rate
    };
    let length = load.length.as_secs_f64();
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / peak;
        if at >= length {
            return arrivals;
        }
        let wave = (at / WAVE_LENGTH * std::f64::consts::TAU).sin() * WAVE_DEPTH;
        let rate = if load.wave {
            load.rate * (1.0 + wave)
        } else {
            load.rate
        };
        if rng.random::<f64>() * peak > rate {
            continue;
        }
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            service: draw_service(&mut rng, load.mean),
            gateway: draw_gateway(&mut rng, load),
        });
    }
}

fn draw_service(rng: &mut Pcg64Mcg, mean: Duration) -> Duration {
    // A log-normal draw by the Box-Muller transform.
    let (one, two): (f64, f64) = (1.0 - rng.random::<f64>(), rng.random());
    let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * two).cos();
    let factor = (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
    mean.mul_f64(factor.min(LONGEST))
}

fn draw_gateway(rng: &mut Pcg64Mcg, load: &Load) -> usize {
    let places = load.gateways + usize::from(load.skew);
    rng.random_range(0..places) % load.gateways
}
