//! The arithmetic of comparisons, without the bench.

use bench::compare::Variant;
use bench::compare::report::Report;
use bench::compare::table::{Played, Summary, Table};

const SOUND: &str = "\
built in 0.2 s; 40473 lines in 223 files
day                  own/srv  score  worth served refused failed  weakest part
quiet-1               45/490   1.00  0.858  0.938   0.000  0.079  worst class 0.83; prices 0.043

class                asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
short                  274     273      1       0      0        0  0.997   1954.0   6670.2
batch                 1021     971      2       0      0       48  0.998   4991.8  13180.2
lasting               2887    1949    611       0    327        0  0.848      0.0      0.0

clients' zone        asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
bern                  1716    1165    344       0    156       51  0.858      0.0  20817.3
";

const BROKEN: &str = "\
day                  own/srv  score  worth served refused failed  weakest part
deploy/days/x.toml --vary --seed 7    45/490   0.00  0.838  0.920   0.000  0.088  worst class 0.80  BROKEN: EVAC 7556, LOST 2 (else 1.00)
";

#[test]
fn a_report_is_read() {
    let report = Report::parse(SOUND).expect("a report");
    assert!((report.worth - 0.858).abs() < 1e-9);
    let kinds = report.kinds.iter();
    let kinds: Vec<(&str, f64)> = kinds.map(|kind| (&*kind.name, kind.worth)).collect();
    assert_eq!(
        kinds,
        [("short", 0.997), ("batch", 0.998), ("lasting", 0.848)]
    );
    assert_eq!(report.broken, None);
}

#[test]
fn broken_rules_are_read() {
    let report = Report::parse(BROKEN).expect("a report");
    assert!((report.worth - 0.838).abs() < 1e-9);
    assert_eq!(report.broken.as_deref(), Some("EVAC 7556, LOST 2"));
}

#[test]
fn a_text_without_a_result_is_an_error() {
    for text in ["", "error: no such day\n", "day  own/srv  score  worth\n"] {
        assert!(Report::parse(text).is_err(), "{text:?}");
    }
}

#[test]
fn a_variant_is_read() {
    let variant: Variant = "old@e7c10e6:move_fills=no,short_first=no"
        .parse()
        .expect("a variant");
    assert_eq!(variant.name, "old");
    assert_eq!(variant.commit, "e7c10e6");
    assert_eq!(variant.policy, ["move_fills = no", "short_first = no"]);
    let plain: Variant = "new".parse().expect("a variant");
    assert_eq!((&*plain.commit, plain.policy.len()), ("HEAD", 0));
    for wrong in ["", "a b", "../x", "old:move_fills"] {
        assert!(wrong.parse::<Variant>().is_err(), "{wrong}");
    }
}

#[test]
fn figures_are_summed_up() {
    let summary = Summary::of(&[0.8, 0.9, 1.0]);
    assert!((summary.mean - 0.9).abs() < 1e-9);
    assert!((summary.deviation - 0.1).abs() < 1e-9);
    assert_eq!(Summary::of(&[0.7]).deviation.to_bits(), 0.0_f64.to_bits());
    assert_eq!(Summary::of(&[]).count, 0);
}

fn played(variant: &str, day: &str, worth: f64) -> Played {
    Played {
        variant: variant.to_owned(),
        site: "site".to_owned(),
        day: day.to_owned(),
        report: Report {
            worth,
            ..Report::default()
        },
    }
}

/// Days differ by 0.5, variants by 0.02 and 0.04: the spread of a difference is that of the pairs.
#[test]
fn differences_are_taken_within_a_day() {
    let variants = ["old", "new"].map(|name| name.parse::<Variant>().expect("a variant"));
    let days = [
        played("old", "quiet", 0.9),
        played("new", "quiet", 0.92),
        played("old", "rough", 0.4),
        played("new", "rough", 0.44),
    ];
    let table = Table::new(&variants, &days);
    let [old, new] = &table.rows[..] else {
        panic!("two rows");
    };
    assert!(old.difference.mean.abs() < 1e-9);
    assert!((new.difference.mean - 0.03).abs() < 1e-9);
    assert!((new.difference.deviation - 0.01414).abs() < 1e-4);
    assert!((new.worth.mean - 0.68).abs() < 1e-9);
    let text = table.to_string();
    assert!(
        text.contains("| site | new | 2 | 0.680 ± 0.339 | +0.030 ± 0.014 |"),
        "{text}"
    );
}
