//! The capacity page matches its measurements, and a change of only the page or only a measurement is
//! detected.

use dunlinspread_scale::capacity::{Options, run};
use std::path::{Path, PathBuf};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

/// Copies the page and its measurements to a temporary folder, where a test can change them.
fn copy_docs() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::create_dir(folder.path().join("capacity")).expect("a folder in it");
    for file in ["CAPACITY.md", "capacity/slopes.json", "capacity/propagation.json"] {
        std::fs::copy(docs().join(file), folder.path().join(file)).expect(file);
    }
    folder
}

fn check(docs: &Path) -> Result<(), String> {
    run(&Options { docs: docs.to_owned(), write: false }).map_err(|error| format!("{error:#}"))
}

fn change(path: &Path, from: &str, to: &str) {
    let text = std::fs::read_to_string(path).expect("the file");
    assert!(text.contains(from), "{}: no `{from}`", path.display());
    std::fs::write(path, text.replacen(from, to, 1)).expect("the file");
}

#[test]
fn the_page_follows_from_the_measurements() {
    assert_eq!(check(&docs()), Ok(()));
}

#[test]
fn a_verdict_that_was_changed_by_hand_is_noticed() {
    let folder = copy_docs();
    change(&folder.path().join("CAPACITY.md"), "**does not fit**", "fits");
    let error = check(folder.path()).expect_err("the page was changed");
    assert!(error.contains("does not follow from the measurements"), "{error}");
}

#[test]
fn a_slope_that_was_changed_is_noticed() {
    let folder = copy_docs();
    change(&folder.path().join("capacity/slopes.json"), "\"at_target\": ", "\"at_target\": 9");
    let error = check(folder.path()).expect_err("a slope was changed");
    assert!(error.contains("does not follow from the measurements"), "{error}");
}

#[test]
fn a_propagation_run_that_was_changed_is_noticed() {
    let folder = copy_docs();
    change(
        &folder.path().join("capacity/propagation.json"),
        "\"in_force_ms_max\": ",
        "\"in_force_ms_max\": 9",
    );
    let error = check(folder.path()).expect_err("a run was changed");
    assert!(error.contains("does not follow from the measurements"), "{error}");
}

#[test]
fn writing_the_page_anew_changes_nothing() {
    let folder = copy_docs();
    run(&Options { docs: folder.path().to_owned(), write: true }).expect("written");
    let written = std::fs::read_to_string(folder.path().join("CAPACITY.md")).expect("the page");
    assert_eq!(written, std::fs::read_to_string(docs().join("CAPACITY.md")).expect("the page"));
}
