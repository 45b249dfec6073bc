//! How long it takes to come back: a restart by the length of the log, and the loss of a leader.

use std::time::{
    Duration,
    Instant, //
};

use ids::Revision;

use crate::group::{
    Group,
    start_host, //
};
use crate::sample::Series;

/// Changes in the log at a restart.
const CHANGES: [u64; 4] = [100, 500, 1000, 2000];
/// Leaders lost.
const LOSSES: usize = 4;

pub(crate) fn measure() -> Result<Vec<Series>, String> {
    Ok(vec![restarts()?, losses()?])
}

fn restarts() -> Result<Series, String> {
    let mut series = Series::new("restart until the configuration is read, ms", "changes");
    let mut group = Group::start(1)?;
    let mut made = 0;
    for target in CHANGES {
        while made < target {
            let json = format!(r#"[{{"put-account": {{"name": "a{made}"}}}}]"#);
            let change = serde_json::from_str::<Vec<_>>(&json).map_err(|f| f.to_string())?;
            group
                .ops
                .propose(Revision(made), change)
                .map_err(|f| f.to_string())?;
            made += 1;
        }
        if let Some(handle) = group.handles[0].take() {
            handle.close();
        }
        let began = Instant::now();
        group.handles[0] = Some(start_host(&group.settings[0])?);
        let config = group.ops.config().map_err(|f| f.to_string())?;
        if config.revision != Revision(made) {
            return Err(format!(
                "revision {} after a restart, not {made}",
                config.revision
            ));
        }
        series.push(target as f64, began.elapsed().as_secs_f64() * 1000.0);
    }
    group.close();
    Ok(series)
}

/// Stops leaders and measures until another accepts a change.
fn losses() -> Result<Series, String> {
    let mut series = Series::new("leader stopped until a change is accepted, ms", "loss");
    let mut group = Group::start(3)?;
    for n in 0..LOSSES {
        let status = group.ops.status().map_err(|f| f.to_string())?;
        let leader = status
            .iter()
            .flat_map(|s| &s.members)
            .find(|member| member.leads);
        let address = leader.map(|member| member.address);
        let at = group.hosts.iter().position(|host| Some(*host) == address);
        let at = at.ok_or("no host leads")?;
        let handle = group.handles[at].take();
        let began = Instant::now();
        // The host is stopped from another thread, so that its own drain does not count.
        let stopper = std::thread::spawn(move || {
            if let Some(handle) = handle {
                handle.close();
            }
        });
        std::thread::sleep(Duration::from_millis(1));
        let json = format!(r#"[{{"put-account": {{"name": "loss-{n}"}}}}]"#);
        let change = serde_json::from_str::<Vec<_>>(&json).map_err(|f| f.to_string())?;
        group.apply(&change)?;
        series.push((n + 1) as f64, began.elapsed().as_secs_f64() * 1000.0);
        let _ = stopper.join();
        group.handles[at] = Some(start_host(&group.settings[at])?);
    }
    group.close();
    Ok(series)
}
