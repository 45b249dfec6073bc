//! Recovery times: restart of a control host by the length of its log, and failover of the leader.

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

/// Numbers of changes in the log at a restart.
const LOG_LENGTHS: [u64; 4] = [100, 500, 1000, 2000];
/// Number of leader failovers.
const FAILOVERS: usize = 4;

pub(crate) fn measure() -> Result<Vec<Series>, String> {
    Ok(vec![restart_times()?, failover_times()?])
}

/// Restarts a single control host at several lengths of its log and measures the time until it
/// serves the configuration.
fn restart_times() -> Result<Series, String> {
    let mut series = Series::new("restart until the configuration is read, ms", "changes");
    let mut group = Group::start(1)?;
    let mut revision = 0;
    for target in LOG_LENGTHS {
        while revision < target {
            let json = format!(r#"[{{"put-account": {{"name": "a{revision}"}}}}]"#);
            let change =
                serde_json::from_str::<Vec<_>>(&json).map_err(|error| error.to_string())?;
            group
                .ops
                .propose(Revision(revision), change)
                .map_err(|error| error.to_string())?;
            revision += 1;
        }
        if let Some(handle) = group.handles[0].take() {
            handle.close();
        }
        let started_at = Instant::now();
        group.handles[0] = Some(start_host(&group.settings[0])?);
        let config = group.ops.config().map_err(|error| error.to_string())?;
        if config.revision != Revision(revision) {
            return Err(format!(
                "revision {} after a restart, expected {revision}",
                config.revision
            ));
        }
        series.push(target as f64, started_at.elapsed().as_secs_f64() * 1000.0);
    }
    group.close();
    Ok(series)
}

/// Stops the leader several times and measures the time until another host accepts a change.
fn failover_times() -> Result<Series, String> {
    let mut series = Series::new("leader stopped until a change is accepted, ms", "loss");
    let mut group = Group::start(3)?;
    for n in 0..FAILOVERS {
        let status = group.ops.status().map_err(|error| error.to_string())?;
        let leader = status
            .iter()
            .flat_map(|s| &s.members)
            .find(|member| member.leads);
        let address = leader.map(|member| member.address);
        let index = group.hosts.iter().position(|host| Some(*host) == address);
        let index = index.ok_or("no control host is the leader")?;
        let handle = group.handles[index].take();
        let started_at = Instant::now();
        // Another thread closes the host, because the time that it needs to drain does not count.
        let closing = std::thread::spawn(move || {
            if let Some(handle) = handle {
                handle.close();
            }
        });
        std::thread::sleep(Duration::from_millis(1));
        let json = format!(r#"[{{"put-account": {{"name": "loss-{n}"}}}}]"#);
        let change = serde_json::from_str::<Vec<_>>(&json).map_err(|error| error.to_string())?;
        group.apply(&change)?;
        series.push((n + 1) as f64, started_at.elapsed().as_secs_f64() * 1000.0);
        let _ = closing.join();
        group.handles[index] = Some(start_host(&group.settings[index])?);
    }
    group.close();
    Ok(series)
}
