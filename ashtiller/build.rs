//! Tells the program which commit it is built from.

use std::error::Error;
use std::path::Path;

use vergen_gitcl::{Emitter, Gitcl};

/// Files that the commit and the state of the tree depend on. The paths are relative, so that a copied
/// target folder does not refer to the tree that it came from.
const INPUTS: [&str; 6] = [
    "src",
    "schema",
    "../platform",
    "../Cargo.lock",
    "../.git/HEAD",
    "../.git/logs/HEAD",
];

fn main() -> Result<(), Box<dyn Error>> {
    for input in INPUTS {
        // Cargo runs the script at each build for a file that is missing.
        if Path::new(input).exists() {
            println!("cargo:rerun-if-changed={input}");
        }
    }
    let gitcl = Gitcl::builder().sha(false).dirty(false).build();
    Emitter::default().add_instructions(&gitcl)?.emit()?;
    Ok(())
}
