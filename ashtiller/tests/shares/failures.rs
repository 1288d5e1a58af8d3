//! Origins that are missing, repeated or lost, and changes of owner.

use std::sync::Arc;

use ashtiller::workflow::load::account::WorkClass;
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::message::PeerRequest;
use ashtiller::workflow::record::{LogRecord, Section};
use ashtiller::workflow::shares::origins::SubmitSection;
use ashtiller::workflow::snapshot;

use crate::fleet::{BEGIN, Fleet, MS, QUEUES, SECOND, job, step};

fn origins(records: &[LogRecord]) -> Vec<(u32, Arc<str>)> {
    let origins = records.iter().filter_map(|record| match record {
        LogRecord::Origin(number, zone) => Some((*number, zone.clone())),
        _ => None,
    });
    origins.collect()
}

/// Returns the usage of a queue or one of its origins, present and past, in percent.
fn usage(fleet: &Fleet, queue: &str, origin: Option<&str>) -> [u32; 2] {
    let queue = format!("jobs{queue}");
    let mut shares = fleet.core.shares();
    let found = shares.find(|(key, _)| *key.queue == *queue && key.origin.as_deref() == origin);
    let percent = |share: f64| format!("{:.0}", share * 100.0).parse().expect("a number");
    found.map_or([0, 0], |(_, share)| {
        [percent(share.used), percent(share.past)]
    })
}

/// Guards against a job that moves to the share of another zone when its caller repeats it there,
/// before or after the first submission is in the log.
#[test]
fn a_repeated_job_keeps_its_first_origin() {
    let mut fleet = Fleet::new(true);
    fleet.submit(job("1", "/a/", step(1)), "n", 0);
    fleet.submit(job("1", "/a/", step(1)), "e", 0);
    fleet.run(&mut [], 100 * MS);
    fleet.submit(job("1", "/a/", step(1)), "s", 0);
    fleet.run(&mut [], 100 * MS);
    assert_eq!(origins(&fleet.records), [(0, "n".into())]);
}

/// Guards against a job that is refused or counted wrongly because its instance is of an older
/// version, which sends no origin, or because a section cannot be read.
#[test]
fn a_job_without_an_origin_is_accepted() {
    assert_eq!(SubmitSection::decode(&[]), SubmitSection::default());
    assert_eq!(SubmitSection::decode(&[200, 1]), SubmitSection::default());
    let mut fleet = Fleet::new(true);
    fleet.submit(job("1", "/a/", step(8)), "", 0);
    fleet.submit(job("2", "/a/", step(8)), &"z".repeat(65), 0);
    fleet.run(&mut [], 300 * MS);
    assert_eq!(origins(&fleet.records), []);
    assert_eq!(usage(&fleet, "/a/", Some(""))[0], 10);
    assert_eq!(fleet.core.log_state().jobs.len(), 2);
}

/// Guards against an older owner that cannot read a submission with an origin.
#[test]
fn an_older_owner_reads_a_submission_with_an_origin() {
    let request = PeerRequest::Submit(Box::new(job("1", "/a/", step(1))));
    let section = SubmitSection { origin: "n".into() };
    let mut bytes = postcard::to_stdvec(&request).expect("encodes");
    bytes.extend(section.encode().expect("encodes"));
    assert_eq!(postcard::from_bytes::<PeerRequest>(&bytes), Ok(request));
    let (_, rest) = postcard::take_from_bytes::<PeerRequest>(&bytes).expect("decodes");
    assert_eq!(SubmitSection::decode(rest), section);
}

/// Guards against origins that are lost with a snapshot, and against a snapshot of an older version
/// or an older owner in between that makes the log unreadable.
#[test]
fn origins_survive_a_snapshot_and_may_be_lost_to_an_older_owner() {
    let mut fleet = Fleet::new(true);
    for (id, zone) in [("1", "n"), ("2", "e"), ("3", "n")] {
        fleet.submit(job(id, "/a/", step(1)), zone, 0);
    }
    fleet.run(&mut [], 100 * MS);
    let bytes = snapshot::encode(fleet.core.log_state()).expect("encodes");
    let decoded = snapshot::decode(&bytes).expect("decodes");
    let zones = |state: &LogState| [0, 1, 2].map(|job| state.origins().of(job).to_string());
    assert_eq!(zones(&decoded), ["n", "e", "n"]);
    // An older version skips the records of this section, and writes none to a snapshot.
    let mut older = LogState::default();
    for record in &fleet.records {
        if record.section() != Section::Extension {
            older.apply(record, fleet.now);
        }
    }
    let bytes = snapshot::encode(&older).expect("encodes");
    let decoded = snapshot::decode(&bytes).expect("decodes");
    assert_eq!(zones(&decoded), ["", "", ""]);
    let mut next = Fleet::with_state(decoded, true);
    next.submit(job("4", "/a/", step(1)), "s", 0);
    next.run(&mut [], 100 * MS);
    assert_eq!(origins(&next.records), [(3, "s".into())]);
}

/// Guards against memory that grows with past jobs, and against a name of a zone for each job.
#[test]
fn the_origin_of_a_forgotten_job_is_dropped() {
    let mut fleet = Fleet::new(true);
    fleet.submit(job("1", "/a/", step(1)), "n", 0);
    fleet.submit(job("2", "/a/", step(1)), "n", 0);
    fleet.run(&mut [], 100 * MS);
    let origins = fleet.core.log_state().origins();
    assert!(Arc::ptr_eq(&origins.of(0), &origins.of(1)));
    fleet.run(&mut [], 155 * SECOND);
    assert!(fleet.core.log_state().origins().is_empty());
}

/// Guards against a new owner that begins with a wrong account: it knows what adopted runs use, and
/// nothing of the past.
#[test]
fn a_new_owner_knows_the_usage_of_adopted_runs() {
    let mut fleet = Fleet::new(true);
    for number in 0..60 {
        fleet.submit(job(&format!("{number}"), "/a/", step(8)), "n", 0);
    }
    fleet.run(&mut [], 600 * MS);
    let past = usage(&fleet, "/a/", Some("n"))[1];
    let demand = fleet.core.load().class_demand("fleet", WorkClass::Short);
    // Each of 160 processors runs one task.
    let used = demand.used.tasks * 100 / 160;
    assert!(used > 50 && past > 5, "{used} {past}");
    let mut state = LogState::default();
    for record in &fleet.records {
        state.apply(record, BEGIN);
    }
    let mut next = Fleet::with_state(state, true);
    next.fates = fleet.fates.clone();
    while next.core.shares().count() == 0 && next.now < BEGIN + 3 * SECOND {
        next.run(&mut [], 5 * MS);
    }
    // Workers that the new owner has not heard yet do not count as capacity.
    for origin in [Some("n"), None] {
        let [adopted, past] = usage(&next, "/a/", origin);
        assert!(
            adopted >= used && past == 0,
            "{adopted} {past}, {used} before"
        );
    }
}

/// Guards against the switch that leaves something of the fair shares on.
#[test]
fn nothing_is_recorded_or_reordered_while_the_switch_is_off() {
    let mut fleet = Fleet::new(false);
    for number in 0..60 {
        let queue = QUEUES[usize::from(number > 50)];
        fleet.submit(job(&format!("{number}"), queue, step(8)), "n", 0);
    }
    fleet.run(&mut [], 2 * SECOND);
    assert_eq!(origins(&fleet.records), []);
    assert_eq!(fleet.core.counts().reordered, 0);
    assert_eq!(fleet.core.shares().count(), 0);
}
