//! Settings and templates: each case of the data files with what is said of it.

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

/// Every case with its mistakes, or with word that it has none.
fn said_of<T>(text: &str, parse: impl Fn(&str, &str) -> Result<T, Mistakes>) -> String {
    let said = cases(text).map(|(name, text)| {
        let result = parse("case.ini", text).err();
        let result = result.map_or("no mistakes".to_owned(), |mistakes| mistakes.to_string());
        format!("=== {name}\n{result}\n")
    });
    said.collect()
}

#[test]
fn settings_name_every_mistake() {
    insta::assert_snapshot!(said_of(include_str!("cases/settings.txt"), Settings::parse));
}

#[test]
fn templates_name_every_mistake() {
    insta::assert_snapshot!(said_of(
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
        Settings::parse("sample", text).expect("a sample without mistakes");
    }
    let templates = [
        include_str!("../../samples/dealer-north.ini"),
        include_str!("../../samples/member-peachtree.ini"),
    ];
    for text in templates {
        Template::parse("sample", text).expect("a sample without mistakes");
    }
}

#[test]
fn units_are_named_and_whole() {
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

/// Symptom: an instance that owned the log started nothing, for good, and did not say why.
///
/// Sequence: a bound on leaving workers of 350 ms or less in the settings.
///
/// Cause: each start has to reach its worker within 350 ms, and only within the bound from
/// when the list of workers was whole; a bound from 1 ms was taken.
///
/// Figure: 350ms, and 1ms as well, had no mistake; now the file is refused with the least
/// bound, 700ms.
#[test]
fn a_bound_within_which_nothing_can_start_is_a_mistake() {
    let sample = include_str!("../../samples/platform-entry.ini");
    for (drain, mistaken) in [("1ms", true), ("350ms", true), ("700ms", false)] {
        let text = sample.replace("drain = 2000ms", &format!("drain = {drain}"));
        let parsed = ashtiller::workflow::settings::Settings::parse("sample", &text);
        let said = parsed.err().map(|mistakes| mistakes.to_string());
        let wanted = format!(
            "sample: [workers] drain: found `{drain}`; allowed: a time in ms, s, min or h from 700ms to 1min"
        );
        assert_eq!(said, mistaken.then_some(wanted));
    }
}

#[test]
fn mechanisms_of_the_policy_can_be_switched_off() {
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
