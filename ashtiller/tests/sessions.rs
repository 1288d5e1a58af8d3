//! Scripted runs of the state machines; a snapshot records the decisions at each step.

mod fleet;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::balance::Kind;
use ashtiller::dispatch::{self, Admission, Dispatch, Limits};
use ashtiller::endpoint::{self, Listing, Phase};
use ashtiller::fact::Body;
use ashtiller::health::RequestResult;
use ashtiller::peer::LoanRequest;
use ashtiller::request_queue::AdmissionRequest;
use ashtiller::template::Class;
use fleet::Fleet;

fn millis(text: &str) -> Duration {
    Duration::from_millis(text.parse().expect("milliseconds"))
}

/// The dispatcher of one service on a gateway, driven by a script.
struct Routing {
    dispatch: Dispatch,
    gateways: Vec<Arc<str>>,
    in_flight: BTreeMap<u64, (Arc<str>, u64)>,
    waiting: BTreeMap<u64, Arc<str>>,
    names: BTreeMap<u64, Arc<str>>,
}

impl Routing {
    fn step(&mut self, words: &[&str]) -> String {
        match words {
            ["deal", gateways @ ..] => {
                self.gateways = gateways.iter().map(|name| Arc::from(*name)).collect();
                "dealt with the next list".to_owned()
            }
            ["list", listings @ ..] => self.list(listings),
            [time, rest @ ..] => {
                let now = millis(time);
                let output = self.act(rest, now);
                format!("{output}{}", self.assigned(now))
            }
            [] => String::new(),
        }
    }

    fn list(&mut self, listings: &[&str]) -> String {
        let listings: Vec<Listing> = listings
            .iter()
            .map(|text| {
                let mut parts = text.split('/');
                let name: Arc<str> = parts.next().expect("name").into();
                let slots = parts
                    .next()
                    .and_then(|slots| slots.parse().ok())
                    .expect("slots");
                let live = parts.next() == Some("live");
                self.names.insert(endpoint::id_of(&name), name.clone());
                let phase = if live { Phase::Live } else { Phase::Leaving };
                Listing {
                    name,
                    address: ([127, 0, 0, 1], 1).into(),
                    slots,
                    phase,
                }
            })
            .collect();
        self.dispatch.update_listings(&listings);
        self.dispatch
            .allocate_slots(&self.gateways[1..], &self.gateways[0]);
        let counts = self.dispatch.endpoint_counts(Duration::ZERO);
        format!(
            "{} live, {} leaving, {} slots dealt",
            counts.live, counts.leaving, counts.allocated
        )
    }

    fn act(&mut self, words: &[&str], now: Duration) -> String {
        match words {
            [
                "offer",
                id,
                account,
                class,
                deadline,
                "limit",
                limit,
                "queue",
                queue,
            ] => {
                let request = AdmissionRequest {
                    id: id.parse().expect("number"),
                    account: (*account).into(),
                    class: if *class == "batch" {
                        Class::Batch
                    } else {
                        Class::LatencyCritical
                    },
                    deadline: millis(deadline),
                    max_in_flight: limit.parse().expect("limit"),
                    max_queued: queue.parse().expect("queue"),
                    avoid: None,
                };
                self.offer(request, now)
            }
            ["end", id, result, rest @ ..] => {
                let sample = match rest {
                    [time] if *result == "good" => RequestResult::Success(millis(time)),
                    _ => RequestResult::Failure,
                };
                let id = id.parse().expect("number");
                let Some((account, endpoint)) = self.in_flight.remove(&id) else {
                    return "not in flight".to_owned();
                };
                self.dispatch.finish(&account, endpoint, sample, now);
                format!("{} is free of {id}", self.names[&endpoint])
            }
            ["fail-all", name] => self.fail_all(name, now),
            ["give-up", id] => {
                let id = id.parse().expect("number");
                let Some(account) = self.waiting.remove(&id) else {
                    return "does not wait".to_owned();
                };
                format!("removed: {}", self.dispatch.cancel(&account, id))
            }
            ["lend", peer, want] => self.lend(peer, false, want.parse().expect("number"), now),
            ["settle", peer] => self.lend(peer, true, 0, now),
            ["due"] => format!(
                "to be probed: {:?}",
                self.endpoint_names(&self.dispatch.due_probes(now))
            ),
            ["probe", name, result] => {
                self.dispatch
                    .record_probe(endpoint::id_of(name), *result == "good", now);
                format!("{} ejected", self.dispatch.endpoint_counts(now).ejected)
            }
            ["leaving", name] => {
                self.dispatch.mark_leaving(endpoint::id_of(name), now);
                format!("{} ejected", self.dispatch.endpoint_counts(now).ejected)
            }
            other => panic!("no such step: {other:?}"),
        }
    }

    fn offer(&mut self, request: AdmissionRequest, now: Duration) -> String {
        let (id, account) = (request.id, request.account.clone());
        match self.dispatch.admit(request, now) {
            Admission::Send(endpoint) => {
                self.in_flight.insert(id, (account, endpoint));
                format!("send to {}", self.names[&endpoint])
            }
            Admission::Wait => {
                self.waiting.insert(id, account);
                "wait".to_owned()
            }
            Admission::Refuse(refusal) => {
                format!(
                    "refuse: {:?}, back in {:?}",
                    refusal.cause, refusal.retry_after
                )
            }
        }
    }

    /// Fails every request in flight to an endpoint, and five more.
    fn fail_all(&mut self, name: &str, now: Duration) -> String {
        let id = endpoint::id_of(name);
        let failed: Vec<u64> = self
            .in_flight
            .iter()
            .filter(|(_, (_, endpoint))| *endpoint == id)
            .map(|(request, _)| *request)
            .collect();
        for request in &failed {
            if let Some((account, endpoint)) = self.in_flight.remove(request) {
                self.dispatch
                    .finish(&account, endpoint, RequestResult::Failure, now);
            }
        }
        for _ in 0..5 {
            self.dispatch
                .finish(&"nobody".into(), id, RequestResult::Failure, now);
        }
        format!(
            "{failed:?} failed; {} ejected",
            self.dispatch.endpoint_counts(now).ejected
        )
    }

    fn lend(&mut self, peer: &str, replaces_loan: bool, want: u32, now: Duration) -> String {
        let request = LoanRequest {
            service: "s".into(),
            borrower: peer.into(),
            replaces_loan,
            keep: Vec::new(),
            want,
        };
        let added = self
            .dispatch
            .lend(&request, now + Duration::from_secs(6), now);
        let ids: Vec<u64> = added.iter().map(|(id, _)| *id).collect();
        let lent = self.dispatch.endpoint_counts(now).lent;
        format!("added {:?}; {lent} lent in all", self.endpoint_names(&ids))
    }

    fn endpoint_names(&self, ids: &[u64]) -> Vec<Arc<str>> {
        ids.iter().map(|id| self.names[id].clone()).collect()
    }

    fn assigned(&mut self, now: Duration) -> String {
        let mut output = String::new();
        for (id, endpoint) in self.dispatch.assign(now) {
            let account = self.waiting.remove(&id).expect("a waiting request");
            self.in_flight.insert(id, (account, endpoint));
            output = format!("{output}; {id} goes to {}", self.names[&endpoint]);
        }
        output
    }
}

fn lines(script: &str) -> impl Iterator<Item = &str> {
    script.lines().filter(|line| !line.trim().is_empty())
}

#[test]
fn a_session_of_routing() {
    let limits = Limits {
        max_connections: 8,
        max_ejected_share: 0.3,
    };
    let mut routing = Routing {
        dispatch: dispatch::build(Kind::Dealt, 7, limits),
        gateways: Vec::new(),
        in_flight: BTreeMap::new(),
        waiting: BTreeMap::new(),
        names: BTreeMap::new(),
    };
    let output = lines(include_str!("cases/routing.session")).map(|line| {
        if line.starts_with('#') {
            return format!("{line}\n");
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        format!("{line}\n    {}\n", routing.step(&words))
    });
    insta::assert_snapshot!(output.collect::<String>());
}

/// Describes the log entries since the last step.
fn new_entries(fleet: &Fleet, shown: &mut usize) -> String {
    let mut output = String::new();
    for (position, entry) in fleet.log.iter().enumerate().skip(*shown) {
        let body = match &entry.body {
            Body::Seal { owner, .. } => format!("seal of {owner}"),
            Body::Facts(facts) => facts
                .iter()
                .map(describe_record)
                .collect::<Vec<_>>()
                .join(", "),
            Body::Handover => "hand-over".to_owned(),
        };
        output = format!(
            "{output}\n    log {}: epoch {}: {body}",
            position + 1,
            entry.epoch
        );
    }
    *shown = fleet.log.len();
    output
}

fn describe_record(record: &ashtiller::fact::LogRecord) -> String {
    use ashtiller::fact::LogRecord;
    match record {
        LogRecord::Submitted(job) => format!("submitted {} of {}", job.job, job.tasks),
        LogRecord::Cancelled(job) => format!("cancelled {job}"),
        LogRecord::Placed {
            attempt, worker, ..
        } => {
            format!("placed {}#{} on {worker}", attempt.task, attempt.number)
        }
        LogRecord::Evicting(attempt) => format!("evicting {}#{}", attempt.task, attempt.number),
        LogRecord::Ended(attempt, end) => {
            format!("ended {}#{} {end:?}", attempt.task, attempt.number)
        }
        LogRecord::Forgotten(job) => format!("forgotten {job}"),
    }
}

fn running(fleet: &Fleet) -> String {
    let workers = fleet.workers.iter().map(|(name, worker)| {
        let tasks: Vec<Arc<str>> = worker.running().collect();
        format!("{name}: {}", tasks.join(" "))
    });
    workers.collect::<Vec<_>>().join("; ")
}

fn run_cell_step(fleet: &mut Fleet, words: &[&str]) -> Result<(), String> {
    let number = |index: usize| {
        words
            .get(index)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    };
    let alive = fleet.nodes.iter().filter(|node| node.alive).count();
    let newest = u16::try_from(alive).unwrap_or(1) - 1;
    match words[0] {
        "tick" => fleet.tick(newest),
        "write" => fleet.write(newest, 3),
        "drain" => {
            while !fleet.in_flight.is_empty() {
                fleet.deliver(0, false)?;
            }
        }
        "go" => {
            for _ in 0..3 {
                fleet.tick(newest);
                while !fleet.in_flight.is_empty() {
                    fleet.deliver(0, false)?;
                }
                fleet.write(newest, 3);
            }
        }
        "submit" => fleet.submit(number(1)),
        "submit-new" => fleet.submit_to_newest(number(1)),
        "write-old" => fleet.write(0, 3),
        "kill" => {
            for node in &mut fleet.nodes {
                node.alive = false;
            }
            fleet.take_over();
        }
        "take-over" => fleet.take_over(),
        "advance" => fleet.advance(number(1).into())?,
        "restart" => fleet.restart(number(1))?,
        "work" => fleet.advance_task(number(1), number(2)),
        "show" => {}
        other => panic!("no such step: {other}"),
    }
    Ok(())
}

#[test]
fn a_session_of_a_cell() {
    let mut fleet = Fleet::open();
    let mut shown = 0;
    let mut output = String::new();
    for line in lines(include_str!("cases/cell.session")) {
        output = format!("{output}{line}");
        if !line.starts_with('#') {
            let words: Vec<&str> = line.split_whitespace().collect();
            run_cell_step(&mut fleet, &words).expect("no invariant is broken");
            output = format!("{output}{}", new_entries(&fleet, &mut shown));
            if words[0] == "show" {
                let alive: Vec<bool> = fleet.nodes.iter().map(|node| node.alive).collect();
                output = format!(
                    "{output}\n    running {}\n    owners alive {alive:?}",
                    running(&fleet)
                );
            }
        }
        output.push('\n');
    }
    insta::assert_snapshot!(output);
}
