//! Measurements of ashtiller on one machine, against small stand-ins.

mod arrivals;
mod bound;
mod caller;
mod cells;
mod crashes;
mod decisions;
mod price;
mod replays;
mod rounds;
mod routing;
mod slopes;
#[path = "../../platform/standin/worker.rs"]
#[expect(dead_code, reason = "tests ask more of it")]
mod worker;

use pico_args::Arguments;

const USAGE: &str = "\
usage:
  bench routing [--gateways 9] [--endpoints 65] [--slots 8] [--load 80%] [--mean 60ms]
                [--seconds 8] [--policy NAME] [--scene even|skew|slow|wave|all] [--deadline 5s]
      compares the ways to choose an endpoint, and computes a single shared queue
  bench overload [--gateways 9] [--endpoints 65] [--times 3] [--seconds 8]
      goodput when more arrives than the endpoints can do
  bench price --gateway ADDRESS --endpoint ADDRESS [--pid PID] [--seconds 5]
      what a gateway adds to each request, and costs
  bench idle --gateway ADDRESS --pid PID [--connections 2000]
      memory of idle connections
  bench cells [--workers 1300] [--running 17700] [--queued 13000]
      decisions a second of a cell's owner, in memory
  bench decisions [--workers N] [--seconds 20]
      processor time of the decisions of a log's owner, for 300, 1,000 and 3,000 workers
  bench rounds [--workers N] [--rounds 40] [--off NAME,...]
      processor time of one placement round for 350, 1,000 and 3,000 workers and 0, 300 and
      2,000 waiting steps, with switches of [policy] off; cost of the record of demand
  bench crashes [--seeds 4] [--delay-ms 10] [--tasks 1] [--flaky 0] [--load 0.6]
                [--zone-losses 0] [--cut-off]
      jobs whose tasks crash their workers: workers taken, and what it costs the others; with
      losses of a zone, each followed by a cut, also how long tasks that ran there wait
  bench compare --bench PROGRAM --folder DIR --site FILE... --day DAY... [--seed N...]
                --variant NAME[@COMMIT][:KEY=VALUE,...]... [--jobs 4] [--charge-time]
      plays the same days with variants of the program, each a commit with settings of
      [policy]; a table of differences from the first, and a plot, in DIR
  bench replay [--seed N] TRACE...
      recorded traces under each placement policy, for both deployments' weights
  bench slopes
      bytes and microseconds for each worker, task and change, at three sizes";

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    match args.subcommand()?.as_deref() {
        Some("rounds") => rounds::run(args),
        Some("routing") => block_on(routing::run(args)),
        Some("overload") => block_on(routing::run_overload(args)),
        Some("price") => block_on(price::run(args)),
        Some("idle") => block_on(price::run_idle(args)),
        Some("compare") => bench::compare::run(args),
        Some("cells") => cells::run(args),
        Some("crashes") => crashes::run(args),
        Some("decisions") => decisions::run(args),
        Some("replay") => replays::run(args),
        Some("slopes") => block_on(slopes::run()),
        _ => anyhow::bail!(USAGE),
    }
}

fn block_on(work: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(work)
}
