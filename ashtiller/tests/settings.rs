//! Parsing of settings and templates; snapshots record the mistakes found in each case file.

use std::time::Duration;

use ashtiller::mistake::Mistakes;
use ashtiller::settings::Settings;
use ashtiller::template::Template;
use ashtiller::unit;

fn cases(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.split("=== ")
        .skip(1)
        .filter_map(|case| case.split_once('\n'))
}

/// Lists every case with its mistakes, or with "no mistakes".
fn mistakes_in_cases<T>(text: &str, parse: impl Fn(&str, &str) -> Result<T, Mistakes>) -> String {
    let output = cases(text).map(|(name, text)| {
        let result = parse("case.ini", text).err();
        let result = result.map_or("no mistakes".to_owned(), |mistakes| mistakes.to_string());
        format!("=== {name}\n{result}\n")
    });
    output.collect()
}

#[test]
fn settings_name_every_mistake() {
    insta::assert_snapshot!(mistakes_in_cases(
        include_str!("cases/settings.txt"),
        Settings::parse
    ));
}

#[test]
fn templates_name_every_mistake() {
    insta::assert_snapshot!(mistakes_in_cases(
        include_str!("cases/templates.txt"),
        Template::parse
    ));
}

#[test]
fn samples_have_no_mistakes() {
    let settings = [
        include_str!("../../samples/agrisana-entry-1.ini"),
        include_str!("../../samples/georgia-entry-1.ini"),
    ];
    for text in settings {
        Settings::parse("sample", text).expect("valid sample");
    }
    let templates = [
        include_str!("../../samples/dealer-north.ini"),
        include_str!("../../samples/member-peachtree.ini"),
    ];
    for text in templates {
        Template::parse("sample", text).expect("valid sample");
    }
}

#[test]
fn values_need_a_known_unit_and_must_be_in_range() {
    assert_eq!(
        unit::parse_duration("250ms"),
        Some(Duration::from_millis(250))
    );
    assert_eq!(unit::parse_duration("2min"), Some(Duration::from_mins(2)));
    assert_eq!(unit::parse_duration("250"), None);
    assert_eq!(unit::parse_duration("99999999999999999999h"), None);
    assert_eq!(unit::parse_size("64MiB"), Some(64 << 20));
    assert_eq!(unit::parse_size("64MB"), None);
    assert_eq!(unit::parse_processors("0.25"), Some(250));
    assert_eq!(unit::parse_processors("1.2345"), None);
    assert_eq!(unit::parse_share("20%"), Some(0.2));
    assert_eq!(unit::parse_share("120%"), None);
    assert_eq!(unit::format_duration(Duration::from_mins(2)), "2min");
    assert_eq!(unit::format_size(64 << 20), "64MiB");
}

#[test]
fn the_sample_of_an_entry_on_the_platform_has_no_mistakes() {
    let text = include_str!("../../samples/platform-entry.ini");
    let settings =
        ashtiller::workflow::settings::Settings::parse("sample", text).expect("no mistakes");
    assert_eq!(settings.entry.peers.to_string(), "127.0.0.11:7720");
    assert_eq!(settings.entry.processors, 250);
    assert!(settings.platform.advisor.is_none());
}

#[test]
fn mistakes_of_an_entry_are_all_named_at_once() {
    let text = "[instance]\nname = edge-1\navailability_zone = bern\n[entry]\nhost = here\n\
        clients = 127.0.0.1:1\nreadiness = x\nports = 9,3\n[platform]\nstore = 127.0.0.1:2\n\
        [workers]\nlease = 6\nspeed = 1\n";
    let mistakes =
        ashtiller::workflow::settings::Settings::parse("bad.ini", text).expect_err("mistakes");
    let keys: Vec<&str> = mistakes
        .0
        .iter()
        .map(|mistake| mistake.key.as_str())
        .collect();
    assert_eq!(keys, ["ports", "host", "readiness", "lease", "speed"]);
}

/// Guards against settings under which the log's owner never starts anything and logs no reason. A
/// start may take 350 ms to reach its worker and must arrive within `drain` of the last complete
/// list of workers, so no start fits into 350 ms or less. Values from 1 ms were accepted; the
/// minimum is now 700 ms.
#[test]
fn a_drain_time_too_short_for_any_start_is_a_mistake() {
    let sample = include_str!("../../samples/platform-entry.ini");
    for (drain, invalid) in [("1ms", true), ("350ms", true), ("700ms", false)] {
        let text = sample.replace("drain = 2000ms", &format!("drain = {drain}"));
        let parsed = ashtiller::workflow::settings::Settings::parse("sample", &text);
        let error = parsed.err().map(|mistakes| mistakes.to_string());
        let expected = format!(
            "sample: [workers] drain: found `{drain}`; allowed: a time in ms, s, min or h from 700ms to 1min"
        );
        assert_eq!(error, invalid.then_some(expected));
    }
}

#[test]
fn policy_features_can_be_switched_off() {
    let sample = include_str!("../../samples/platform-entry.ini");
    let parse = |text: &str| ashtiller::workflow::settings::Settings::parse("sample", text);
    assert!(
        parse(sample)
            .expect("no mistakes")
            .tuning
            .switches
            .move_fills
    );
    let off = sample.replace("move_fills = yes", "move_fills = no");
    assert!(!parse(&off).expect("no mistakes").tuning.switches.move_fills);
    let bad = sample.replace("move_fills = yes", "move_fills = maybe\nmove_all = yes");
    let mistakes = parse(&bad).expect_err("mistakes");
    let keys: Vec<&str> = mistakes.0.iter().map(|it| it.key.as_str()).collect();
    assert_eq!(keys, ["move_fills", "move_all"]);
}
