//! Runs every file of `tests/scenarios`. With `REWRITE=1` the outputs in the files are replaced by
//! those of the run.

use std::path::Path;

use scenario::{
    Directive,
    Simulation, //
};

fn run_scenario(path: &Path) {
    datadriven::walk(path.to_str().unwrap(), |file| {
        let mut simulation = None;
        file.run(|case| {
            let number = |name: &str, default: usize| {
                case.args
                    .get(name)
                    .map_or(default, |values| values[0].parse().unwrap())
            };
            if case.directive == "cluster" {
                let (controls, entries) = (number("controls", 1), number("entries", 1));
                simulation = Some(Simulation::new(controls, entries, number("agents", 1)).unwrap());
                return "ok\n".to_owned();
            }
            let mut directive = Directive {
                name: case.directive.clone(),
                ..Directive::default()
            };
            let words = case.input.split_whitespace();
            for word in words {
                match word.split_once('=') {
                    Some((name, value)) => {
                        directive.named.insert(name.to_owned(), value.to_owned());
                    }
                    None => directive.positional.push(word.to_owned()),
                }
            }
            let simulation = simulation
                .as_mut()
                .expect("the first directive is `cluster`");
            let output = simulation
                .run(&directive)
                .unwrap_or_else(|error| panic!("{error}"));
            format!("{output}\n")
        });
    });
}

case::cases! {
    scenarios: run_scenario(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/scenarios"));
}
