//! The program names the commit that it was built from.
//!
//! Guards against reports of failures from a build that nobody can identify.

use std::process::Command;

fn output_of(program: &str, args: &[&str]) -> Option<String> {
    let output = Command::new(program).args(args).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}

#[test]
fn the_version_names_the_commit_of_the_build() {
    let program = env!("CARGO_BIN_EXE_ashtiller");
    let version = output_of(program, &["--version"]).expect("a version");
    let commit = output_of("git", &["rev-parse", "HEAD"]).unwrap_or_else(|| "unknown".to_owned());
    assert!(version.contains(env!("CARGO_PKG_VERSION")), "{version}");
    assert!(version.contains(&commit), "{version} is not of {commit}");
}
