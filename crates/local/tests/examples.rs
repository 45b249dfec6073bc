//! Checks that the settings and configuration files in `examples` are valid, and the error messages
//! for invalid settings.

use std::fs;
use std::path::{
    Path,
    PathBuf, //
};

use tempfile::TempDir;

fn example_dir(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Copies an example directory and adds a secret, as an operator does.
fn copy_with_secret(name: &str) -> TempDir {
    let copy = TempDir::new().unwrap();
    for entry in fs::read_dir(example_dir(name)).unwrap() {
        let entry = entry.unwrap();
        fs::copy(entry.path(), copy.path().join(entry.file_name())).unwrap();
    }
    fs::write(copy.path().join("secret"), "a secret of enough bytes\n").unwrap();
    copy
}

fn check_example(name: &str) {
    let copy = copy_with_secret(name);
    for entry in fs::read_dir(copy.path()).unwrap() {
        let path = entry.unwrap().path();
        let role = path
            .file_name()
            .unwrap()
            .to_str()
            .unwrap()
            .split(['-', '.'])
            .next()
            .unwrap();
        match role {
            "entry" => drop(entry::Settings::try_from(path.as_path()).unwrap()),
            "agent" => drop(agent::Settings::try_from(path.as_path()).unwrap()),
            "control" => drop(control::Settings::try_from(path.as_path()).unwrap()),
            "plan" => {
                let changes = ops::parse_config_file(&fs::read_to_string(&path).unwrap()).unwrap();
                conf::Config::default().apply_all(&changes).unwrap();
            }
            "secret" => {}
            other => panic!("{other}: unknown role"),
        }
    }
}

/// Returns the error messages for the settings of an entry.
fn settings_errors(text: &str) -> String {
    let dir = TempDir::new().unwrap();
    let path = dir.path().join("entry.toml");
    fs::write(dir.path().join("secret"), "a secret of enough bytes").unwrap();
    fs::write(&path, text).unwrap();
    let errors = entry::Settings::try_from(path.as_path())
        .unwrap_err()
        .to_string();
    errors.replace(&format!("{}/", dir.path().display()), "")
}

/// Returns the error messages for an example after a replacement.
fn errors_after(from: &str, to: &str) -> String {
    let text = fs::read_to_string(example_dir("hidrovigia").join("entry-0.toml")).unwrap();
    assert!(text.contains(from));
    settings_errors(&text.replace(from, to))
}

case::cases! {
    hidrovigia_is_valid: check_example("hidrovigia");
    cruinneog_is_valid: check_example("cruinneog");
    public_address_needs_public_flag: assert_eq!(
        errors_after("127.0.0.1:8080", "192.0.2.1:80"),
        "entry.toml: listen: \"192.0.2.1:80\" is not a loopback address; set public = true to allow it"
    );
    malformed_address_is_named: assert_eq!(
        errors_after("\"127.0.0.1:7001\"", "\"somewhere\""),
        "entry.toml: control: \"somewhere\" is not an IP number and port, such as 127.0.0.1:8080"
    );
    each_invalid_field_has_one_line: assert_eq!(
        errors_after("threads = 256", "threads = 0\n").lines().count()
            + errors_after("host = \"entry-0\"", "host = \"\"").lines().count(),
        2
    );
    unknown_field_is_located: assert!(errors_after("threads", "treads").starts_with("entry.toml: line 7, column 1: unknown field `treads`"));
}
