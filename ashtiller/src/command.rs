//! Commands and their exit status: 0 success, 1 failure, 2 invalid usage, settings or template.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use ashtiller::apply::{self, Applied};
use ashtiller::build_info;
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
  ashtiller check     --settings FILE          list every mistake in a settings or template file
  ashtiller apply     --settings FILE [--dry-run] TEMPLATE...
                                               apply templates
  ashtiller submit    --settings FILE --kind KIND [--tasks N] ACCOUNT JOB
  ashtiller show      --settings FILE ACCOUNT [JOB]
  ashtiller show      --settings FILE --cell CELL
  ashtiller cancel    --settings FILE ACCOUNT JOB
  ashtiller dump      ADDRESS                  print a process's state as JSON
  ashtiller demo      [--seconds N]            run a simulated deployment in one process

submit, show and cancel call the operators' port of a gateway: that of `--gateway ADDRESS`,
or by default the one in the settings. Exit status: 0 success, 1 failure, 2 invalid usage,
settings or template. Logs go to standard error; ASHTILLER_LOG sets their filter.";

/// Timeout of a command's call to a gateway.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of a state dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a command failed; it determines the exit status.
enum CommandError {
    /// Invalid usage, settings or template: exit status 2.
    Usage(String),
    /// Any other failure: exit status 1.
    Failed(anyhow::Error),
}

impl From<anyhow::Error> for CommandError {
    fn from(error: anyhow::Error) -> Self {
        Self::Failed(error)
    }
}

impl From<Mistakes> for CommandError {
    fn from(mistakes: Mistakes) -> Self {
        Self::Usage(mistakes.to_string())
    }
}

impl From<pico_args::Error> for CommandError {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(format!("{error}\n\n{USAGE}"))
    }
}

type CommandResult = Result<(), CommandError>;

/// Runs the command that the arguments name.
pub fn run(mut args: Arguments) -> ExitCode {
    if args.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    if args.contains(["-V", "--version"]) {
        println!("ashtiller {}", build_info::get());
        return ExitCode::SUCCESS;
    }
    match run_command(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Usage(reason)) => {
            eprintln!("{reason}");
            ExitCode::from(2)
        }
        Err(CommandError::Failed(error)) => {
            eprintln!("ashtiller: {error:#}");
            ExitCode::from(1)
        }
    }
}

fn run_command(mut args: Arguments) -> CommandResult {
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
            positional(args, 0)?;
            init_logs("warn");
            block_on(async { Ok(demo::run(Duration::from_secs(seconds)).await?) })
        }
        "" => Err(CommandError::Usage(USAGE.to_owned())),
        other => Err(CommandError::Usage(format!(
            "unknown command `{other}`\n\n{USAGE}"
        ))),
    }
}

fn block_on(work: impl Future<Output = CommandResult>) -> CommandResult {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("starting the runtime")?;
    runtime.block_on(work)
}

fn init_logs(default: &str) {
    let filter =
        EnvFilter::try_from_env("ASHTILLER_LOG").unwrap_or_else(|_| EnvFilter::new(default));
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
}

/// Returns the positional arguments; requires `min` or more of them, and none if `min` is 0.
fn positional(args: Arguments, min: usize) -> Result<Vec<String>, CommandError> {
    let mut free = Vec::new();
    for word in args.finish() {
        let word = word.to_string_lossy().into_owned();
        if word.starts_with('-') {
            return Err(CommandError::Usage(format!(
                "unknown option `{word}`\n\n{USAGE}"
            )));
        }
        free.push(word);
    }
    if free.len() < min || (min == 0 && !free.is_empty()) {
        return Err(CommandError::Usage(format!(
            "wrong number of arguments\n\n{USAGE}"
        )));
    }
    Ok(free)
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|error| CommandError::Usage(format!("{}: {error}", path.display())))
}

fn read_settings(args: &mut Arguments) -> Result<Settings, CommandError> {
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

/// Runs an entry instance, whose logs go to standard output.
fn entry(mut args: Arguments) -> CommandResult {
    let path: Option<PathBuf> = args.opt_value_from_str("--settings")?;
    positional(args, 0)?;
    let logs = logs::open("info");
    Ok(platform::run(path, logs.dropped())?)
}

fn run_role(mut args: Arguments, role: Role) -> CommandResult {
    let settings = read_settings(&mut args)?;
    positional(args, 0)?;
    init_logs("info");
    block_on(async {
        let mut terminate = signal(SignalKind::terminate()).context("listening for SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).context("listening for SIGINT")?;
        let stop = async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            tracing::info!("shutting down");
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

fn check(mut args: Arguments) -> CommandResult {
    let path: PathBuf = args.value_from_str("--settings")?;
    positional(args, 0)?;
    let text = read_file(&path)?;
    let name = path.display().to_string();
    // The sections show the kind of file: only templates have `[account]`, and only
    // settings of entry instances have `[entry]`.
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

async fn apply(mut args: Arguments) -> CommandResult {
    let settings = read_settings(&mut args)?;
    let dry_run = args.contains("--dry-run");
    let paths = positional(args, 1)?;
    let mut templates = Vec::new();
    let mut mistakes = Vec::new();
    // Every file is validated before any is written.
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
    let mut conflict = false;
    for (path, account, text) in templates {
        let base = apply::read(&*store, &account)
            .await
            .context("reading the stored template")?;
        let applied = apply::write(&*store, &account, &text, &base, dry_run).await;
        match applied.with_context(|| format!("applying {path}"))? {
            Applied::Accepted(revision) => {
                println!("{path}: {account} in force, revision {revision}");
            }
            Applied::Unchanged(revision) => {
                println!("{path}: {account} unchanged, revision {revision}");
            }
            Applied::DryRun(old) => show_change(path, old.as_deref().unwrap_or(""), &text),
            Applied::Conflict(revision, now) => {
                conflict = true;
                println!("{path}: {account} was changed meanwhile, to revision {revision}");
                show_change(path, base.text().map_or("", |text| text), &now);
            }
        }
    }
    if conflict {
        return Err(anyhow::anyhow!(
            "another operator changed an account first; that change was kept"
        )
        .into());
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

async fn call_gateway(
    args: &mut Arguments,
    method: Method,
    target: &str,
    invalid_is_usage: bool,
) -> CommandResult {
    let settings = read_settings(args)?;
    let given: Option<SocketAddr> = args.opt_value_from_str("--gateway")?;
    let address = given.unwrap_or(settings.gateway.operators);
    let client = web::Client::default();
    let response = client
        .call(
            "call gateway",
            address,
            method,
            target,
            Bytes::new(),
            CALL_TIMEOUT,
        )
        .await
        .map_err(|failure| CommandError::Failed(failure.into()))?;
    let body = String::from_utf8_lossy(&response.body).into_owned();
    println!("{body}");
    if response.status.is_success() {
        return Ok(());
    }
    let invalid = matches!(
        response.status,
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY
    );
    if invalid && invalid_is_usage {
        return Err(CommandError::Usage(format!("refused: {}", response.status)));
    }
    Err(anyhow::anyhow!("the gateway responded with {}", response.status).into())
}

async fn submit(mut args: Arguments) -> CommandResult {
    let kind: String = args.value_from_str("--kind")?;
    let tasks: Option<u32> = args.opt_value_from_str("--tasks")?;
    let (mut rest, names) = split_names(args, 2)?;
    let tasks = tasks
        .map(|tasks| format!("&tasks={tasks}"))
        .unwrap_or_default();
    let target = format!("/v1/jobs/{}/{}?kind={kind}{tasks}", names[0], names[1]);
    call_gateway(&mut rest, Method::PUT, &target, true).await
}

async fn show(mut args: Arguments) -> CommandResult {
    if let Some(cell) = args.opt_value_from_str::<_, String>("--cell")? {
        let (mut rest, _) = split_names(args, 0)?;
        return call_gateway(&mut rest, Method::GET, &format!("/v1/cells/{cell}"), false).await;
    }
    let (mut rest, names) = split_names(args, 1)?;
    call_gateway(
        &mut rest,
        Method::GET,
        &format!("/v1/jobs/{}", names.join("/")),
        false,
    )
    .await
}

async fn cancel(args: Arguments) -> CommandResult {
    let (mut rest, names) = split_names(args, 2)?;
    let target = format!("/v1/jobs/{}/{}", names[0], names[1]);
    call_gateway(&mut rest, Method::DELETE, &target, true).await
}

/// Separates `--settings` and `--gateway`, with their values, from the names.
fn split_names(args: Arguments, min: usize) -> Result<(Arguments, Vec<String>), CommandError> {
    let mut options = Vec::new();
    let mut names = Vec::new();
    let mut words = args.finish().into_iter();
    while let Some(word) = words.next() {
        let text = word.to_string_lossy().into_owned();
        if text == "--settings" || text == "--gateway" {
            options.push(word);
            options.extend(words.next());
        } else if text.starts_with('-') {
            return Err(CommandError::Usage(format!(
                "unknown option `{text}`\n\n{USAGE}"
            )));
        } else {
            names.push(text);
        }
    }
    if names.len() < min
        || names
            .iter()
            .any(|name| !ashtiller::document::is_valid_name(name))
    {
        return Err(CommandError::Usage(format!(
            "invalid names or wrong number of names\n\n{USAGE}"
        )));
    }
    Ok((Arguments::from_vec(options), names))
}

async fn dump(args: Arguments) -> CommandResult {
    let words = positional(args, 1)?;
    let address: SocketAddr = words[0].parse().map_err(|_| {
        CommandError::Usage(format!("`{}` is not an IP address with a port", words[0]))
    })?;
    let client = web::Client::default();
    let response = client
        .call(
            "dump",
            address,
            Method::GET,
            "/dump",
            Bytes::new(),
            DUMP_TIMEOUT,
        )
        .await
        .map_err(|failure| CommandError::Failed(failure.into()))?;
    println!("{}", String::from_utf8_lossy(&response.body));
    Ok(())
}
