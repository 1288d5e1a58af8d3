//! Settings and templates: each case of the data files with what is said of it.

use ashtiller::settings::Settings;
use ashtiller::template::Template;
use ashtiller::unit;
use std::time::Duration;

fn cases(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.split("=== ")
        .skip(1)
        .filter_map(|case| case.split_once('\n'))
}

#[test]
fn settings_name_every_mistake() {
    let mut said = String::new();
    for (name, text) in cases(include_str!("cases/settings.txt")) {
        let result = match Settings::parse("case.ini", text) {
            Ok(_) => "no mistakes".to_owned(),
            Err(mistakes) => mistakes.to_string(),
        };
        said.push_str(&format!("=== {name}\n{result}\n"));
    }
    insta::assert_snapshot!(said);
}

#[test]
fn templates_name_every_mistake() {
    let mut said = String::new();
    for (name, text) in cases(include_str!("cases/templates.txt")) {
        let result = match Template::parse("case.ini", text) {
            Ok(_) => "no mistakes".to_owned(),
            Err(mistakes) => mistakes.to_string(),
        };
        said.push_str(&format!("=== {name}\n{result}\n"));
    }
    insta::assert_snapshot!(said);
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
    assert_eq!(unit::show_duration(Duration::from_mins(2)), "2min");
    assert_eq!(unit::show_size(64 << 20), "64MiB");
}
