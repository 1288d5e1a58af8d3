//! What a gateway adds to a request, and costs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use hdrhistogram::Histogram;
use pico_args::Arguments;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;

use crate::caller::Caller;

/// Clock ticks a second in `/proc`.
const TICKS: f64 = 100.0;
/// Callers at a time, from few to many.
const CALLERS: [usize; 3] = [1, 8, 32];

/// `bench price`.
pub async fn run(mut args: Arguments) -> anyhow::Result<()> {
    let gateway: SocketAddr = args.value_from_str("--gateway")?;
    let endpoint: SocketAddr = args.value_from_str("--endpoint")?;
    let pid: Option<u32> = args.opt_value_from_str("--pid")?;
    let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(5);
    let length = Duration::from_secs(seconds);
    println!(
        "{:<8} {:<8} {:>10} {:>9} {:>9} {:>12}",
        "callers", "way", "req/s", "p50 us", "p99 us", "cpu us/req"
    );
    for callers in CALLERS {
        let direct = measure(endpoint, "/sweep", callers, length, None).await?;
        let through = measure(gateway, "/fleet/sweep", callers, length, pid).await?;
        print_row(callers, "direct", &direct);
        print_row(callers, "gateway", &through);
        println!(
            "{callers:<8} {:<8} {:>10} {:>9} {:>9}",
            "added",
            "",
            through
                .latency
                .value_at_quantile(0.5)
                .saturating_sub(direct.latency.value_at_quantile(0.5)),
            through
                .latency
                .value_at_quantile(0.99)
                .saturating_sub(direct.latency.value_at_quantile(0.99)),
        );
    }
    Ok(())
}

struct Price {
    latency: Histogram<u64>,
    rate: f64,
    processor: Option<f64>,
}

fn print_row(callers: usize, way: &str, price: &Price) {
    println!(
        "{callers:<8} {way:<8} {:>10.0} {:>9} {:>9} {:>12}",
        price.rate,
        price.latency.value_at_quantile(0.5),
        price.latency.value_at_quantile(0.99),
        price
            .processor
            .map_or(String::new(), |micros| format!("{micros:.1}")),
    );
}

async fn measure(
    address: SocketAddr,
    path: &'static str,
    callers: usize,
    length: Duration,
    pid: Option<u32>,
) -> anyhow::Result<Price> {
    let caller = Caller::new(address, path);
    let before = pid.map(processor_time).transpose()?;
    let start = time::Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        tasks.spawn(repeat(caller.clone(), start + length));
    }
    let mut latency = Histogram::new(3)?;
    while let Some(done) = tasks.join_next().await {
        latency.add(done??)?;
    }
    let elapsed = start.elapsed().as_secs_f64();
    let after = pid.map(processor_time).transpose()?;
    #[expect(clippy::cast_precision_loss, reason = "requests of a run")]
    let count = latency.len() as f64;
    let processor = before
        .zip(after)
        .map(|(before, after)| (after - before) / count * 1e6);
    Ok(Price {
        latency,
        rate: count / elapsed,
        processor,
    })
}

async fn repeat(caller: Arc<Caller>, until: time::Instant) -> anyhow::Result<Histogram<u64>> {
    let mut latency = Histogram::new(3)?;
    while time::Instant::now() < until {
        let began = time::Instant::now();
        let status = caller.call(0.0, 5000).await?;
        anyhow::ensure!(status.is_success(), "status {status}");
        latency.record(u64::try_from(began.elapsed().as_micros())?)?;
    }
    Ok(latency)
}

/// Seconds of processor time that a process has used.
fn processor_time(pid: u32) -> anyhow::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields = stat.rsplit_once(')').context("fields of /proc")?.1;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS)
}

/// Bytes of memory that a process holds.
fn resident(pid: u32) -> anyhow::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .context("memory")?;
    let kib: u64 = line.split_whitespace().nth(1).context("memory")?.parse()?;
    Ok(kib * 1024)
}

/// `bench idle`.
pub async fn run_idle(mut args: Arguments) -> anyhow::Result<()> {
    let gateway: SocketAddr = args.value_from_str("--gateway")?;
    let pid: u32 = args.value_from_str("--pid")?;
    let connections: usize = args.opt_value_from_str("--connections")?.unwrap_or(2000);
    let mut held = Vec::new();
    let empty = resident(pid)?;
    println!("0 connections: {} KiB resident", empty / 1024);
    for step in 1..=4 {
        while held.len() < connections * step / 4 {
            held.push(TcpStream::connect(gateway).await?);
        }
        time::sleep(Duration::from_millis(500)).await;
        let now = resident(pid)?;
        let each = now.saturating_sub(empty) / held.len() as u64;
        println!(
            "{} connections: {} KiB resident, {each} B each",
            held.len(),
            now / 1024
        );
    }
    Ok(())
}
