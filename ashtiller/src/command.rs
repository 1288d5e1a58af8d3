//! Commands and their exit status: 0 done, 1 failed, 2 wrong use or settings.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use ashtiller::apply::{self, Applied};
use ashtiller::consul;
use ashtiller::gateway;
use ashtiller::logs;
use ashtiller::mistake::Mistakes;
use ashtiller::scheduler;
use ashtiller::settings::Settings;
use ashtiller::template::Template;
use ashtiller::web;
use ashtiller::workflow;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;

use crate::demo;
use crate::platform;

const USAGE: &str = "\
ashtiller: a scheduler for colocated latency-critical and batch work

usage:
  ashtiller entry     [--settings FILE]        run an entry instance on the users' platform
  ashtiller gateway   --settings FILE          run a gateway until SIGTERM or SIGINT
  ashtiller scheduler --settings FILE          run a scheduler until SIGTERM or SIGINT
  ashtiller check     --settings FILE          find every mistake in a settings or template file
  ashtiller apply     --settings FILE [--dry-run] TEMPLATE...
                                               put templates in force
  ashtiller submit    --settings FILE --kind KIND [--tasks N] ACCOUNT JOB
  ashtiller show      --settings FILE ACCOUNT [JOB]
  ashtiller show      --settings FILE --cell CELL
  ashtiller cancel    --settings FILE ACCOUNT JOB
  ashtiller dump      ADDRESS                  a process's whole state as JSON
  ashtiller demo      [--seconds N]            everything in one process, with stand-ins

`--gateway ADDRESS` names the operators' port that submit, show and cancel ask;
without it they ask the one in the settings. Exit status: 0 done, 1 failed, 2 wrong
use or settings. Logs go to standard error; ASHTILLER_LOG sets their filter.";

/// Time limit of a command's call to a gateway.
const LIMIT: Duration = Duration::from_secs(15);
/// Time limit of a dump.
const DUMP_LIMIT: Duration = Duration::from_secs(5);

/// Why a command ended without success.
enum Failed {
    /// Wrong use or settings.
    Wrong(String),
    /// It could not be done.
    Failed(anyhow::Error),
}

impl From<anyhow::Error> for Failed {
    fn from(error: anyhow::Error) -> Self {
        Self::Failed(error)
    }
}

impl From<Mistakes> for Failed {
    fn from(mistakes: Mistakes) -> Self {
        Self::Wrong(mistakes.to_string())
    }
}

impl From<pico_args::Error> for Failed {
    fn from(error: pico_args::Error) -> Self {
        Self::Wrong(format!("{error}\n\n{USAGE}"))
    }
}

type Done = Result<(), Failed>;

/// Runs the command that the arguments name.
pub fn run(mut args: Arguments) -> ExitCode {
    if args.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    if args.contains(["-V", "--version"]) {
        println!("ashtiller {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run_command(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failed::Wrong(reason)) => {
            eprintln!("{reason}");
            ExitCode::from(2)
        }
        Err(Failed::Failed(error)) => {
            eprintln!("ashtiller: {error:#}");
            ExitCode::from(1)
        }
    }
}

fn run_command(mut args: Arguments) -> Done {
    let command = args.subcommand()?.unwrap_or_default();
    match command.as_str() {
        "entry" => entry(args),
        "gateway" => run_role(args, Role::Gateway),
        "scheduler" => run_role(args, Role::Scheduler),
        "check" => check(args),
        "apply" => block_on(apply(args)),
        "submit" => block_on(submit(args)),
        "show" => block_on(show(args)),
        "cancel" => block_on(cancel(args)),
        "dump" => block_on(dump(args)),
        "demo" => {
            let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(20);
            finish(args, 0)?;
            start_logs("warn");
            block_on(async { Ok(demo::run(Duration::from_secs(seconds)).await?) })
        }
        "" => Err(Failed::Wrong(USAGE.to_owned())),
        other => Err(Failed::Wrong(format!(
            "there is no command `{other}`\n\n{USAGE}"
        ))),
    }
}

fn block_on(work: impl Future<Output = Done>) -> Done {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("starting the runtime")?;
    runtime.block_on(work)
}

fn start_logs(default: &str) {
    let filter =
        EnvFilter::try_from_env("ASHTILLER_LOG").unwrap_or_else(|_| EnvFilter::new(default));
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
}

/// Takes the free arguments; `least` of them are needed.
fn finish(args: Arguments, least: usize) -> Result<Vec<String>, Failed> {
    let mut free = Vec::new();
    for word in args.finish() {
        let word = word.to_string_lossy().into_owned();
        if word.starts_with('-') {
            return Err(Failed::Wrong(format!(
                "there is no option `{word}` here\n\n{USAGE}"
            )));
        }
        free.push(word);
    }
    if free.len() < least || (least == 0 && !free.is_empty()) {
        return Err(Failed::Wrong(format!(
            "wrong number of arguments\n\n{USAGE}"
        )));
    }
    Ok(free)
}

fn read_file(path: &Path) -> Result<String, Failed> {
    std::fs::read_to_string(path)
        .map_err(|error| Failed::Wrong(format!("{}: {error}", path.display())))
}

fn read_settings(args: &mut Arguments) -> Result<Settings, Failed> {
    let path: PathBuf = args.value_from_str("--settings")?;
    Ok(Settings::parse(
        &path.display().to_string(),
        &read_file(&path)?,
    )?)
}

#[derive(Clone, Copy)]
enum Role {
    Gateway,
    Scheduler,
}

/// Runs an entry instance; its logs go to standard output.
fn entry(mut args: Arguments) -> Done {
    let path: Option<PathBuf> = args.opt_value_from_str("--settings")?;
    finish(args, 0)?;
    let logs = logs::open("info");
    Ok(platform::run(path, logs.dropped())?)
}

fn run_role(mut args: Arguments, role: Role) -> Done {
    let settings = read_settings(&mut args)?;
    finish(args, 0)?;
    start_logs("info");
    block_on(async {
        let mut terminate = signal(SignalKind::terminate()).context("listening for SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).context("listening for SIGINT")?;
        let stop = async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            tracing::info!("planned stop");
        };
        match role {
            Role::Gateway => {
                let gateway = gateway::spawn(settings).await?;
                tracing::info!(callers = %gateway.callers(), operators = %gateway.operators(), "open");
                stop.await;
                gateway.stop().await;
            }
            Role::Scheduler => {
                let scheduler = scheduler::spawn(settings).await?;
                tracing::info!(operators = %scheduler.operators(), "open");
                stop.await;
                scheduler.stop().await;
            }
        }
        tracing::info!("stopped");
        Ok(())
    })
}

fn check(mut args: Arguments) -> Done {
    let path: PathBuf = args.value_from_str("--settings")?;
    finish(args, 0)?;
    let text = read_file(&path)?;
    let name = path.display().to_string();
    // Only a template has an account; only settings have an instance.
    if text.lines().any(|line| line.trim() == "[account]") {
        Template::parse(&name, &text)?;
    } else if text.lines().any(|line| line.trim() == "[entry]") {
        workflow::settings::Settings::parse(&name, &text)?;
    } else {
        Settings::parse(&name, &text)?;
    }
    println!("{name}: no mistakes");
    Ok(())
}

async fn apply(mut args: Arguments) -> Done {
    let settings = read_settings(&mut args)?;
    let dry = args.contains("--dry-run");
    let paths = finish(args, 1)?;
    let mut templates = Vec::new();
    let mut mistakes = Vec::new();
    // Every file is checked before any is written.
    for path in &paths {
        let text = read_file(Path::new(path))?;
        match Template::parse(path, &text) {
            Ok(template) => templates.push((path, template.account, Arc::<str>::from(text))),
            Err(found) => mistakes.extend(found.0),
        }
    }
    if !mistakes.is_empty() {
        return Err(Mistakes(mistakes).into());
    }
    let store = consul::open(settings.platform.store, settings.platform.timeout);
    let mut raced = false;
    for (path, account, text) in templates {
        let base = apply::read(&*store, &account)
            .await
            .context("reading what is in force")?;
        let applied = apply::write(&*store, &account, &text, &base, dry).await;
        match applied.with_context(|| format!("putting {path} in force"))? {
            Applied::Accepted(revision) => {
                println!("{path}: {account} in force, revision {revision}");
            }
            Applied::Unchanged(revision) => {
                println!("{path}: {account} unchanged, revision {revision}");
            }
            Applied::DryRun(old) => show_change(path, old.as_deref().unwrap_or(""), &text),
            Applied::Conflict(revision, now) => {
                raced = true;
                println!("{path}: {account} was changed meanwhile, to revision {revision}");
                show_change(path, base.text().map_or("", |text| text), &now);
            }
        }
    }
    if raced {
        return Err(
            anyhow::anyhow!("another operator was faster; nothing of theirs was undone").into(),
        );
    }
    Ok(())
}

fn show_change(path: &str, old: &str, new: &str) {
    println!("{path}: change");
    for line in old
        .lines()
        .filter(|line| !new.lines().any(|other| other == *line))
    {
        println!("- {line}");
    }
    for line in new
        .lines()
        .filter(|line| !old.lines().any(|other| other == *line))
    {
        println!("+ {line}");
    }
}

async fn ask_gateway(args: &mut Arguments, method: Method, target: &str, good: bool) -> Done {
    let settings = read_settings(args)?;
    let given: Option<SocketAddr> = args.opt_value_from_str("--gateway")?;
    let address = given.unwrap_or(settings.gateway.operators);
    let client = web::Client::default();
    let answer = client
        .call("ask gateway", address, method, target, Bytes::new(), LIMIT)
        .await
        .map_err(|failure| Failed::Failed(failure.into()))?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    println!("{body}");
    if answer.status.is_success() {
        return Ok(());
    }
    let wrong = matches!(
        answer.status,
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY
    );
    if wrong && good {
        return Err(Failed::Wrong(format!("refused: {}", answer.status)));
    }
    Err(anyhow::anyhow!("the gateway answered {}", answer.status).into())
}

async fn submit(mut args: Arguments) -> Done {
    let kind: String = args.value_from_str("--kind")?;
    let tasks: Option<u32> = args.opt_value_from_str("--tasks")?;
    let (mut rest, names) = split_names(args, 2)?;
    let tasks = tasks
        .map(|tasks| format!("&tasks={tasks}"))
        .unwrap_or_default();
    let target = format!("/v1/jobs/{}/{}?kind={kind}{tasks}", names[0], names[1]);
    ask_gateway(&mut rest, Method::PUT, &target, true).await
}

async fn show(mut args: Arguments) -> Done {
    if let Some(cell) = args.opt_value_from_str::<_, String>("--cell")? {
        let (mut rest, _) = split_names(args, 0)?;
        return ask_gateway(&mut rest, Method::GET, &format!("/v1/cells/{cell}"), false).await;
    }
    let (mut rest, names) = split_names(args, 1)?;
    ask_gateway(
        &mut rest,
        Method::GET,
        &format!("/v1/jobs/{}", names.join("/")),
        false,
    )
    .await
}

async fn cancel(args: Arguments) -> Done {
    let (mut rest, names) = split_names(args, 2)?;
    let target = format!("/v1/jobs/{}/{}", names[0], names[1]);
    ask_gateway(&mut rest, Method::DELETE, &target, true).await
}

/// Splits `--settings` and `--gateway` with their values from the names.
fn split_names(args: Arguments, least: usize) -> Result<(Arguments, Vec<String>), Failed> {
    let mut options = Vec::new();
    let mut names = Vec::new();
    let mut words = args.finish().into_iter();
    while let Some(word) = words.next() {
        let text = word.to_string_lossy().into_owned();
        if text == "--settings" || text == "--gateway" {
            options.push(word);
            options.extend(words.next());
        } else if text.starts_with('-') {
            return Err(Failed::Wrong(format!(
                "there is no option `{text}` here\n\n{USAGE}"
            )));
        } else {
            names.push(text);
        }
    }
    if names.len() < least
        || names
            .iter()
            .any(|name| !ashtiller::document::is_valid_name(name))
    {
        return Err(Failed::Wrong(format!(
            "wrong names or number of names\n\n{USAGE}"
        )));
    }
    Ok((Arguments::from_vec(options), names))
}

async fn dump(args: Arguments) -> Done {
    let words = finish(args, 1)?;
    let address: SocketAddr = words[0]
        .parse()
        .map_err(|_| Failed::Wrong(format!("`{}` is no IP number and port", words[0])))?;
    let client = web::Client::default();
    let answer = client
        .call(
            "dump",
            address,
            Method::GET,
            "/dump",
            Bytes::new(),
            DUMP_LIMIT,
        )
        .await
        .map_err(|failure| Failed::Failed(failure.into()))?;
    println!("{}", String::from_utf8_lossy(&answer.body));
    Ok(())
}
