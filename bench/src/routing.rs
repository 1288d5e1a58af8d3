//! Ways to choose an endpoint, compared with the same arrivals.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context;
use ashtiller::apply;
use ashtiller::balance;
use ashtiller::consul;
use ashtiller::gateway::{self, Gateway};
use ashtiller::settings::Settings;
use ashtiller::unit;
use ashtiller::web;
use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::Method;
use pico_args::Arguments;
use standin::endpoint::Endpoint;
use standin::store::{CatalogEntry, Store};
use tokio::task::JoinSet;
use tokio::time;

use crate::arrivals::{self, Arrival, Load};
use crate::bound;
use crate::caller::Caller;

/// Seed of the arrivals.
const SEED: u128 = 20_261_202;
/// Endpoints that are slow in the scene `slow`, and by how much.
const SLOW: usize = 3;
const SLOW_FACTOR: f64 = 4.0;
/// Connections that an endpoint takes from all gateways.
const CONNECTIONS: usize = 60;
/// Time before the measured part, for connections and loans to settle.
const WARM: Duration = Duration::from_secs(2);

struct Options {
    gateways: usize,
    endpoints: usize,
    slots: usize,
    load: f64,
    mean: Duration,
    length: Duration,
    deadline: Duration,
    policy: Option<String>,
    scene: String,
}

#[derive(Clone, Copy, Default)]
struct Scene {
    skew: bool,
    slow: bool,
    wave: bool,
}

struct World {
    store: Store,
    endpoints: Vec<Endpoint>,
    gateways: Vec<Gateway>,
}

struct Outcome {
    latency: Histogram<u64>,
    good: u64,
    refused: u64,
    failed: u64,
    waited: f64,
    messages: f64,
    bytes: f64,
}

/// `bench routing`.
pub async fn run(mut args: Arguments) -> anyhow::Result<()> {
    let options = read(&mut args)?;
    println!(
        "{} gateways, {} endpoints of {} slots, load {:.0} %, mean service {:?}, {:?} measured",
        options.gateways,
        options.endpoints,
        options.slots,
        options.load * 100.0,
        options.mean,
        options.length
    );
    println!(
        "{:<6} {:<15} {:>8} {:>8} {:>8} {:>7} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "scene",
        "policy",
        "p50 ms",
        "p99 ms",
        "p99.9",
        "x bound",
        "refused",
        "failed",
        "full %",
        "msg/s/gw",
        "B/s/gw"
    );
    let scenes = [
        ("even", Scene::default()),
        (
            "skew",
            Scene {
                skew: true,
                ..Scene::default()
            },
        ),
        (
            "slow",
            Scene {
                slow: true,
                ..Scene::default()
            },
        ),
        (
            "wave",
            Scene {
                skew: true,
                wave: true,
                ..Scene::default()
            },
        ),
    ];
    for (name, scene) in scenes {
        if options.scene == "all" || options.scene == name {
            run_scene(&options, name, scene).await?;
        }
    }
    Ok(())
}

fn read(args: &mut Arguments) -> anyhow::Result<Options> {
    let time = |text: Option<String>, default: &str| {
        unit::parse_duration(text.as_deref().unwrap_or(default)).context("a time needs a unit")
    };
    let load: Option<String> = args.opt_value_from_str("--load")?;
    let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(8);
    Ok(Options {
        gateways: args.opt_value_from_str("--gateways")?.unwrap_or(9),
        endpoints: args.opt_value_from_str("--endpoints")?.unwrap_or(65),
        slots: args.opt_value_from_str("--slots")?.unwrap_or(8),
        load: unit::parse_share(load.as_deref().unwrap_or("80%")).context("a load such as 80%")?,
        mean: time(args.opt_value_from_str("--mean")?, "60ms")?,
        length: Duration::from_secs(seconds),
        deadline: time(args.opt_value_from_str("--deadline")?, "5s")?,
        policy: args.opt_value_from_str("--policy")?,
        scene: args
            .opt_value_from_str("--scene")?
            .unwrap_or_else(|| "all".to_owned()),
    })
}

fn load_of(options: &Options, scene: Scene) -> Load {
    let slots = f64::from(u32::try_from(options.endpoints * options.slots).unwrap_or(u32::MAX));
    Load {
        rate: options.load * slots / options.mean.as_secs_f64(),
        mean: options.mean,
        length: options.length + WARM,
        gateways: options.gateways,
        skew: scene.skew,
        wave: scene.wave,
    }
}

async fn run_scene(options: &Options, name: &str, scene: Scene) -> anyhow::Result<()> {
    let arrivals = arrivals::draw(&load_of(options, scene), SEED);
    let speeds: Vec<f64> = (0..options.endpoints * options.slots)
        .map(|slot| {
            if scene.slow && slot < SLOW * options.slots {
                SLOW_FACTOR
            } else {
                1.0
            }
        })
        .collect();
    let bound = bound::run(&arrivals, &speeds)?;
    let p99 = bound.value_at_quantile(0.99);
    let empty = (0.0, 0.0, 0.0);
    print_row(name, "one queue", &bound, 1.0, (0, 0), empty);
    for (policy, _) in balance::KINDS {
        if options
            .policy
            .as_deref()
            .is_none_or(|wanted| wanted == policy)
        {
            let outcome = measure(options, scene, policy, &arrivals).await?;
            let ratio = ratio(outcome.latency.value_at_quantile(0.99), p99);
            let counts = (outcome.refused, outcome.failed);
            let rates = (outcome.waited, outcome.messages, outcome.bytes);
            print_row(name, policy, &outcome.latency, ratio, counts, rates);
        }
    }
    Ok(())
}

fn print_row(
    scene: &str,
    policy: &str,
    latency: &Histogram<u64>,
    ratio: f64,
    (refused, failed): (u64, u64),
    (waited, messages, bytes): (f64, f64, f64),
) {
    let at =
        |quantile| Duration::from_micros(latency.value_at_quantile(quantile)).as_secs_f64() * 1e3;
    println!(
        "{scene:<6} {policy:<15} {:>8.1} {:>8.1} {:>8.1} {ratio:>7.2} {refused:>8} {failed:>8} \
         {:>8.2} {messages:>9.1} {bytes:>9.0}",
        at(0.5),
        at(0.99),
        at(0.999),
        waited * 100.0
    );
}

#[expect(clippy::cast_precision_loss, reason = "microseconds of a run")]
fn ratio(one: u64, other: u64) -> f64 {
    one as f64 / other.max(1) as f64
}

async fn open(options: &Options, scene: Scene, policy: &str) -> anyhow::Result<World> {
    let store = standin::store::bind("127.0.0.1:0").await?;
    let mut endpoints = Vec::new();
    let mut listed = Vec::new();
    for number in 0..options.endpoints {
        let name = format!("runner-{number}");
        let endpoint = standin::endpoint::bind("127.0.0.1:0", &name, options.slots, false).await?;
        if scene.slow && number < SLOW {
            endpoint.set_slowdown(SLOW_FACTOR);
        }
        listed.push(listing(&name, &endpoint, options.slots));
        endpoints.push(endpoint);
    }
    store.set_instances("fleet", listed);
    let text = "[account]\nname = dealer-north\n[service fleet]\nclass = latency-critical\n\
        timeout = 30s\nlimit = 100000\nqueue = 100000\n";
    let client = consul::open(store.address(), Duration::from_secs(2));
    let account = Arc::from("dealer-north");
    let base = apply::read(&*client, &account).await?;
    apply::write(&*client, &account, &Arc::from(text), &base, false).await?;
    let mut gateways = Vec::new();
    for number in 0..options.gateways {
        let text = format!(
            "[instance]\nname = entry-{number}\navailability_zone = bern\n\
             [platform]\nstore = {}\n\
             [gateway]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             routing = {policy}\nconnections = {}\ncallers_max = 100000\n",
            store.address(),
            (CONNECTIONS / options.gateways).max(1)
        );
        gateways.push(gateway::spawn(Settings::parse("bench", &text)?).await?);
    }
    let world = World {
        store,
        endpoints,
        gateways,
    };
    wait_ready(&world).await?;
    Ok(world)
}

fn listing(name: &str, endpoint: &Endpoint, slots: usize) -> CatalogEntry {
    let facts = [("slots", slots.to_string()), ("zone", "bern".to_owned())];
    CatalogEntry {
        node: name.to_owned(),
        service_address: endpoint.address().ip().to_string(),
        service_port: endpoint.address().port(),
        service_meta: facts
            .map(|(key, value)| (key.to_owned(), value))
            .into_iter()
            .collect(),
    }
}

async fn wait_ready(world: &World) -> anyhow::Result<()> {
    let client = web::Client::default();
    let limit = Duration::from_secs(1);
    let members = "\"role\":\"gateway\"";
    for gateway in &world.gateways {
        let until = time::Instant::now() + Duration::from_secs(20);
        loop {
            let address = gateway.operators();
            let asked = client
                .call("dump", address, Method::GET, "/dump", Bytes::new(), limit)
                .await;
            let dump = asked.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
            let dump = dump.unwrap_or_default();
            // Itself once more for its own role.
            let all = dump.matches(members).count() > world.gateways.len();
            if all && dump.contains("runner-0") {
                break;
            }
            anyhow::ensure!(
                time::Instant::now() < until,
                "a gateway did not become ready"
            );
            time::sleep(Duration::from_millis(50)).await;
        }
    }
    // One more refresh, so that every gateway deals among all of them.
    time::sleep(Duration::from_millis(1200)).await;
    Ok(())
}

#[derive(Default)]
struct Counts {
    good: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
}

async fn measure(
    options: &Options,
    scene: Scene,
    policy: &str,
    arrivals: &[Arrival],
) -> anyhow::Result<Outcome> {
    let world = open(options, scene, policy).await?;
    let callers: Vec<Arc<Caller>> = world
        .gateways
        .iter()
        .map(|gateway| Caller::new(gateway.callers(), "/fleet/sweep"))
        .collect();
    let counts = Arc::new(Counts::default());
    let timeout = u64::try_from(options.deadline.as_millis())?;
    let start = time::Instant::now();
    let (messages, bytes) = traffic(&world).await;
    let mut calls = JoinSet::new();
    for arrival in arrivals {
        time::sleep_until(start + arrival.at).await;
        let (caller, counts, arrival) =
            (callers[arrival.gateway].clone(), counts.clone(), *arrival);
        calls.spawn(one_call(caller, counts, arrival, start, timeout));
    }
    let mut latency = Histogram::new(3)?;
    while let Some(done) = calls.join_next().await {
        if let Ok(Some(micros)) = done {
            latency.record(micros)?;
        }
    }
    let (messages_after, bytes_after) = traffic(&world).await;
    let seconds = start.elapsed().as_secs_f64();
    let sum = |count: fn(&Endpoint) -> &AtomicU64| {
        world
            .endpoints
            .iter()
            .map(|endpoint| count(endpoint).load(Ordering::Relaxed))
            .sum::<u64>()
    };
    let share = f64::from(u32::try_from(options.gateways)?) * seconds;
    let outcome = Outcome {
        latency,
        good: counts.good.load(Ordering::Relaxed),
        refused: counts.refused.load(Ordering::Relaxed),
        failed: counts.failed.load(Ordering::Relaxed),
        waited: ratio(
            sum(|endpoint| &endpoint.counts().queued),
            sum(|endpoint| &endpoint.counts().run),
        ),
        messages: ratio(messages_after - messages, 1) / share,
        // Each byte is counted by its sender and its receiver.
        bytes: ratio(bytes_after - bytes, 1) / share,
    };
    drop(world.store);
    Ok(outcome)
}

async fn one_call(
    caller: Arc<Caller>,
    counts: Arc<Counts>,
    arrival: Arrival,
    start: time::Instant,
    timeout: u64,
) -> Option<u64> {
    let status = caller
        .call(arrival.service.as_secs_f64() * 1e3, timeout)
        .await;
    let count = match status {
        Ok(status) if status.is_success() => &counts.good,
        Ok(status) if status.as_u16() == 503 || status.as_u16() == 429 => &counts.refused,
        _ => &counts.failed,
    };
    count.fetch_add(1, Ordering::Relaxed);
    let good = status.is_ok_and(|status| status.is_success());
    let late = start.elapsed().saturating_sub(arrival.at);
    let measured = good && arrival.at >= WARM;
    measured.then(|| u64::try_from(late.as_micros()).unwrap_or(u64::MAX))
}

/// Questions for slots and bytes between gateways so far.
async fn traffic(world: &World) -> (u64, u64) {
    let client = web::Client::default();
    let limit = Duration::from_secs(5);
    let mut messages = 0;
    for gateway in &world.gateways {
        let asked = client
            .call(
                "metrics",
                gateway.operators(),
                Method::GET,
                "/metrics",
                Bytes::new(),
                limit,
            )
            .await;
        let metrics = asked.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
        let metrics = metrics.unwrap_or_default();
        let line = metrics
            .lines()
            .find(|line| line.starts_with("ashtiller_gateway_slot_asks_total"));
        let value = line.and_then(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        messages += value.unwrap_or(0);
    }
    (
        messages,
        world.gateways.iter().map(Gateway::wire_bytes).sum(),
    )
}

/// `bench overload`.
pub async fn run_overload(mut args: Arguments) -> anyhow::Result<()> {
    let times: f64 = args.opt_value_from_str("--times")?.unwrap_or(3.0);
    let mut options = read(&mut args)?;
    options.deadline = Duration::from_millis(500);
    options.load = 1.0;
    let length = options.length + WARM;
    let capacity = load_of(&options, Scene::default()).rate * length.as_secs_f64();
    for load in [0.8, 1.0, times] {
        options.load = load;
        let arrivals = arrivals::draw(&load_of(&options, Scene::default()), SEED);
        let outcome = measure(&options, Scene::default(), "dealt", &arrivals).await?;
        let p99 = Duration::from_micros(outcome.latency.value_at_quantile(0.99));
        println!(
            "load {load:.1}: offered {}, good {}, {:.1} % of capacity, refused {}, failed {}, \
             p99 {p99:?}",
            arrivals.len(),
            outcome.good,
            ratio(outcome.good, 1) / capacity * 100.0,
            outcome.refused,
            outcome.failed,
        );
    }
    Ok(())
}
