//! Parsing of store entries and submitted jobs, which may hold anything: malformed input must be
//! an error and never panic.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;

use crate::{codec, job};

/// Entry written by a worker of the platform.
const WORKER: &str = r#"{"service":"fleet","address":"10.0.0.1:8080","zone":"bern","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"machine":"m1","clock_ms":482113,"sequence":4}"#;
/// Entry written by operators.
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r","host":"jobs.example","prefix":"/q/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"fleet","max_attempts":3,"extension":1.5}],"services":[{"name":"fleet","enforces_capacity":true,"headroom":false}],"limits":{"max_body_bytes":262144}}"#;
const WAVE: &str = r#"{"wave":3,"machines":["m1","m2"],"duration_s":12.5,"max_count":2}"#;
/// Job submitted by a client.
const JOB: &str = r#"{"spec":"sweep","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900},{"count":2,"cpu":500,"mem_mb":1,"depends_on":[0],"long_running":true}]}"#;
/// Entries that were parsed wrongly in the past, one per line.
const CORPUS: &str = include_str!("../cases/entries.txt");

fn key() -> String {
    format!("{}i-1", codec::open().worker_prefix())
}

fn is_worker(text: &str) -> bool {
    codec::open().worker(&key(), text.as_bytes()).is_ok()
}

/// Returns [`WORKER`] with `from` replaced by `to`.
fn replace(from: &str, to: &str) -> String {
    let text = WORKER.replace(from, to);
    assert_ne!(text, WORKER, "{from}");
    text
}

#[test]
fn the_born_field_distinguishes_incarnations_of_one_worker() {
    let parse = |born: &str| {
        let text = replace(r#""ready""#, &format!(r#""ready","born":{born}"#));
        codec::open().worker(&key(), text.as_bytes())
    };
    let incarnation = parse("1767225600123").unwrap().incarnation;
    assert_eq!(
        (incarnation.id(), incarnation.born()),
        ("i-1", Some(1_767_225_600_123))
    );
    assert_ne!(incarnation, parse("1767225600124").unwrap().incarnation);
    assert_eq!(parse("null").unwrap().incarnation.born(), None);
    for malformed in ["1.5", "-4", r#""now""#, "[1]", "{}"] {
        assert!(parse(malformed).is_err(), "{malformed}");
    }
}

#[test]
fn a_valid_worker_entry_is_parsed() {
    let listed = codec::open().worker(&key(), WORKER.as_bytes()).unwrap();
    assert_eq!(listed.incarnation, "i-1".into());
    assert_eq!(listed.machine.as_deref(), Some("m1"));
    assert_eq!(listed.capacity.processors, 16_000);
    assert!(!listed.draining);
    let draining = replace(r#""ready""#, r#""draining","remaining_ms":2500"#);
    let listed = codec::open().worker(&key(), draining.as_bytes()).unwrap();
    assert!(listed.draining);
    assert_eq!(listed.remaining, Some(Duration::from_millis(2500)));
}

#[test]
fn missing_and_mistyped_fields_are_errors() {
    for field in ["service", "address", "zone", "state", "capacity"] {
        let missing = replace(&format!("\"{field}\":"), &format!("\"no-{field}\":"));
        assert!(!is_worker(&missing), "without {field}");
    }
    for (from, to) in [
        (r#""fleet""#, "7"),
        (r#""10.0.0.1:8080""#, r#""nowhere""#),
        (r#""10.0.0.1:8080""#, r#""10.0.0.1:0""#),
        (r#"["a","r1-3"]"#, r#""a""#),
        ("16000", r#""16000""#),
        ("16000", "-1"),
        (r#""m1""#, "[]"),
    ] {
        assert!(!is_worker(&replace(from, to)), "{to}");
    }
}

#[test]
fn unknown_worker_states_are_errors() {
    for state in ["", "READY", "ready ", "stopped", "warming"] {
        let other = replace(r#""ready""#, &format!("\"{state}\""));
        assert!(!is_worker(&other), "{state:?}");
    }
}

#[test]
fn oversized_values_are_errors() {
    for (from, to) in [
        ("16000", "18446744073709551615"),
        ("32768", "18446744073709551615"),
        (r#""gpu":0"#, r#""gpu":4294967295"#),
    ] {
        assert!(!is_worker(&replace(from, to)), "{to}");
    }
    let long = format!("\"{}\"", "x".repeat(100_000));
    assert!(!is_worker(&replace(r#""fleet""#, &long)));
    let labels = format!("[{}]", vec!["\"a\""; 1000].join(","));
    assert!(!is_worker(&replace(r#"["a","r1-3"]"#, &labels)));
}

#[test]
fn keys_without_a_worker_id_are_errors() {
    let prefix = codec::open().worker_prefix();
    for key in [prefix.to_owned(), format!("{prefix}a/b")] {
        assert!(codec::open().worker(&key, WORKER.as_bytes()).is_err());
    }
}

/// Runs all parsers on any bytes.
fn parse_all(bytes: &[u8]) {
    let dialect = codec::open();
    let operators = dialect.operator_prefix();
    if let Ok(listed) = dialect.worker(&key(), bytes) {
        // The capacities of a hundred such workers add up without overflow.
        let sum = (0..100).fold(listed.capacity, |sum, _| sum.plus(&listed.capacity));
        assert!(listed.capacity.fits_within(&sum));
    }
    for name in ["config", "wave/3", "wave/x", "other"] {
        let _ = dialect.operated(&format!("{operators}{name}"), bytes);
    }
    let _ = job::read("00000000000000a1", &"jobs.example/q/".into(), bytes);
}

/// An evacuation depends on the key alone: an entry with a malformed value evacuates its zone, too.
#[test]
fn the_key_names_the_evacuated_zone() {
    let dialect = codec::open();
    let key = |rest: &str| format!("{}{rest}", dialect.operator_prefix());
    let zone = dialect.evacuated(&key("evacuate/halle-bern"));
    assert_eq!(zone.as_deref(), Some("halle-bern"));
    for rest in ["evacuate/", "evacuate", "config", "wave/3", "evacuated/x"] {
        assert_eq!(dialect.evacuated(&key(rest)), None, "{rest}");
    }
    for value in ["{}", "", "\u{0}not json", "[]"] {
        let parsed = dialect.operated(&key("evacuate/halle-bern"), value.as_bytes());
        assert!(parsed.is_ok(), "{value}");
    }
}

#[test]
fn entries_that_were_parsed_wrongly_are_errors() {
    for line in CORPUS.lines() {
        assert!(!is_worker(line), "{line}");
        parse_all(line.as_bytes());
    }
}

/// Generates valid entries with some bytes changed, removed or inserted.
fn mutated_entries() -> impl Strategy<Value = Vec<u8>> {
    let valid = prop_oneof![Just(WORKER), Just(CONFIG), Just(WAVE), Just(JOB)];
    let edits = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3u8), 0..6);
    let tokens = prop::collection::vec(
        (
            any::<prop::sample::Index>(),
            prop::sample::select(vec![
                "null",
                "-1",
                "1e999",
                "\"\"",
                "[]",
                "{}",
                "99999999999999999999",
            ]),
        ),
        0..2,
    );
    (valid, edits, tokens).prop_map(|(valid, edits, tokens)| {
        let mut text = valid.to_owned();
        for (place, token) in tokens {
            let colons: Vec<usize> = text.match_indices(':').map(|(at, _)| at).collect();
            let from = colons[place.index(colons.len())] + 1;
            let rest = text[from..]
                .find([',', '}'])
                .map_or(text.len(), |end| from + end);
            text.replace_range(from..rest, token);
        }
        let mut bytes = text.into_bytes();
        for (place, byte, edit) in edits {
            let at = place.index(bytes.len().max(1));
            match edit {
                _ if bytes.is_empty() => {}
                0 => bytes[at] = byte,
                1 => drop(bytes.remove(at)),
                _ => bytes.insert(at, byte),
            }
        }
        bytes
    })
}

/// Returns the settings of the property tests. `PROPTEST_CASES` sets the number of cases; failing
/// cases are stored next to this file.
fn proptest_config() -> ProptestConfig {
    let persistence = FileFailurePersistence::WithSource("regressions");
    ProptestConfig {
        failure_persistence: Some(Box::new(persistence)),
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn no_reader_panics_on_changed_entries(bytes in mutated_entries()) {
        parse_all(&bytes);
    }

    #[test]
    fn no_reader_panics_on_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        parse_all(&bytes);
    }
}
