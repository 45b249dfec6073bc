//! The example settings are valid, and so are the plans.

use std::fs;
use std::path::{
    Path,
    PathBuf, //
};

use tempfile::TempDir;

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Copies an example folder beside a secret, as the page on operating says.
fn prepared(name: &str) -> TempDir {
    let copy = TempDir::new().unwrap();
    for entry in fs::read_dir(folder(name)).unwrap() {
        let entry = entry.unwrap();
        fs::copy(entry.path(), copy.path().join(entry.file_name())).unwrap();
    }
    fs::write(copy.path().join("secret"), "a secret of enough bytes\n").unwrap();
    copy
}

fn valid(name: &str) {
    let copy = prepared(name);
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
                let plan = ops::parse_config_file(&fs::read_to_string(&path).unwrap()).unwrap();
                conf::Config::default().apply_all(&plan).unwrap();
            }
            "secret" => {}
            other => panic!("{other} is no role"),
        }
    }
}

fn faults(text: &str) -> String {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("entry.toml");
    fs::write(folder.path().join("secret"), "a secret of enough bytes").unwrap();
    fs::write(&path, text).unwrap();
    let fault = entry::Settings::try_from(path.as_path())
        .unwrap_err()
        .to_string();
    fault.replace(&format!("{}/", folder.path().display()), "")
}

fn changed(from: &str, to: &str) -> String {
    let text = fs::read_to_string(folder("hidrovigia").join("entry-0.toml")).unwrap();
    assert!(text.contains(from));
    faults(&text.replace(from, to))
}

case::cases! {
    hidrovigia: valid("hidrovigia");
    cruinneog: valid("cruinneog");
    address_outside_loopback: assert_eq!(
        changed("127.0.0.1:8080", "192.0.2.1:80"),
        "entry.toml: listen: \"192.0.2.1:80\" is not a loopback address; set public = true to allow it"
    );
    malformed_address: assert_eq!(
        changed("\"127.0.0.1:7001\"", "\"somewhere\""),
        "entry.toml: control: \"somewhere\" is not an IP number and port, such as 127.0.0.1:8080"
    );
    every_fault_is_named: assert_eq!(
        changed("threads = 256", "threads = 0\n").lines().count()
            + changed("host = \"entry-0\"", "host = \"\"").lines().count(),
        2
    );
    unknown_field: assert!(changed("threads", "treads").starts_with("entry.toml: line 7, column 1: unknown field `treads`"));
}
