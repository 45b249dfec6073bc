//! Runs every scenario file. `REWRITE=1` writes what was seen into the files.

use std::path::Path;

use script::{
    Verb,
    World, //
};

fn scenario(path: &Path) {
    datadriven::walk(path.to_str().unwrap(), |file| {
        let mut world = None;
        file.run(|case| {
            let number = |name: &str, unless: usize| {
                case.args
                    .get(name)
                    .map_or(unless, |values| values[0].parse().unwrap())
            };
            if case.directive == "world" {
                let (controls, entries) = (number("controls", 1), number("entries", 1));
                world = Some(World::new(controls, entries, number("agents", 1)).unwrap());
                return "ok\n".to_owned();
            }
            let mut verb = Verb {
                name: case.directive.clone(),
                ..Verb::default()
            };
            let words = case.input.split_whitespace();
            for word in words {
                match word.split_once('=') {
                    Some((name, value)) => {
                        verb.named.insert(name.to_owned(), value.to_owned());
                    }
                    None => verb.plain.push(word.to_owned()),
                }
            }
            let world = world.as_mut().expect("the first verb is `world`");
            let said = world.run(&verb).unwrap_or_else(|fault| panic!("{fault}"));
            format!("{said}\n")
        });
    });
}

case::cases! {
    scenarios: scenario(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/scenarios"));
}
