//! The cost of configuration subscriptions: CPU time of the control host and of the subscribers,
//! and the time until a change reaches all of them.

use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::{
    Duration,
    Instant, //
};

use conf::Config;
use ids::{
    Incarnation,
    Monotonic,
    Revision, //
};
use obs::Counters;
use peer::{
    ControlClient,
    Subscriber,
    SubscriberIdentity, //
};
use wire::SubscriberKind;

use crate::group::{
    Group,
    configuration,
    sealer, //
};
use crate::process::cpu_time;
use crate::sample::Series;

/// Numbers of subscribers of one control host.
const SIZES: [usize; 5] = [10, 50, 100, 300, 600];
/// Duration of the measurement without changes.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Endpoints of the configuration.
const ENDPOINTS: usize = 660;
/// Time limit for all subscribers to receive a revision.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(20);
/// Changes applied one after the other while propagation is measured.
const CHANGES: u64 = 20;

/// Running subscribers, and the revision that each of them has applied.
struct Subscribers {
    running: Vec<Subscriber>,
    applied: Arc<Vec<AtomicU64>>,
}

impl Subscribers {
    fn start(group: &Group, size: usize) -> Result<Self, String> {
        let control = ControlClient::new(sealer()?, group.hosts.clone());
        let applied = Arc::new((0..size).map(|_| AtomicU64::new(0)).collect::<Vec<_>>());
        let mut running = Vec::new();
        for n in 0..size {
            let identity = SubscriberIdentity {
                host: format!("f{n}")
                    .as_str()
                    .try_into()
                    .map_err(|error: ids::NameError| error.to_string())?,
                kind: SubscriberKind::Agent,
                incarnation: Incarnation(n as u64),
            };
            let mut view = Config::default();
            let applied = Arc::clone(&applied);
            let deliver = move |received: peer::ViewUpdate| {
                let _ = view.apply_update(&received.update);
                applied[n].store(view.revision().0, Ordering::Release);
                Some(view.revision())
            };
            let clock = Monotonic::start();
            let subscriber = Subscriber::start(
                identity,
                control.clone(),
                clock,
                obs::discard(),
                Counters::local(),
                deliver,
            );
            running.push(subscriber.map_err(|error| error.to_string())?);
        }
        Ok(Self { running, applied })
    }

    /// Waits until every subscriber has applied a revision.
    fn wait_for(&self, revision: Revision) -> Result<(), String> {
        let deadline = Instant::now() + UPDATE_TIMEOUT;
        let is_behind = |applied: &AtomicU64| applied.load(Ordering::Acquire) < revision.0;
        while self.applied.iter().any(is_behind) {
            if Instant::now() >= deadline {
                let behind = self
                    .applied
                    .iter()
                    .filter(|applied| is_behind(applied))
                    .count();
                return Err(format!(
                    "{behind} subscribers did not receive revision {revision}"
                ));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    fn close(self) {
        self.running.iter().for_each(Subscriber::stop);
        self.running.into_iter().for_each(Subscriber::close);
    }
}

pub(crate) fn measure() -> Result<Vec<Series>, String> {
    let mut host_idle = Series::new("control host, percent of a core, idle", "followers");
    let mut subscriber_idle = Series::new("one follower, percent of a core, idle", "followers");
    let mut propagation = Series::new("change in force at every follower, ms", "followers");
    let mut change_cost = Series::new("control host, CPU ms for one change", "followers");
    for size in SIZES {
        let group = Group::start(1)?;
        let first = group.apply(&configuration(ENDPOINTS)?)?;
        let subscribers = Subscribers::start(&group, size)?;
        subscribers.wait_for(first)?;
        let core_percent = |used: Duration| used.as_secs_f64() / IDLE_TIME.as_secs_f64() * 100.0;
        let (host_cpu, subscribers_cpu) = (cpu_time(&["control-"]), cpu_time(&["f"]));
        std::thread::sleep(IDLE_TIME);
        host_idle.push(
            size as f64,
            core_percent(cpu_time(&["control-"]) - host_cpu),
        );
        subscriber_idle.push(
            size as f64,
            core_percent(cpu_time(&["f"]) - subscribers_cpu) / size as f64,
        );
        let host_cpu = cpu_time(&["control-"]);
        let started_at = Instant::now();
        for n in 0..CHANGES {
            let json = format!(
                r#"[{{"put-zone": {{"name": "zone-0", "region": "region-0", "capacity": {}}}}}]"#,
                n + 1
            );
            let change: Vec<_> = serde_json::from_str(&json).map_err(|error| error.to_string())?;
            subscribers.wait_for(group.apply(&change)?)?;
        }
        propagation.push(
            size as f64,
            started_at.elapsed().as_secs_f64() * 1000.0 / CHANGES as f64,
        );
        let used = (cpu_time(&["control-"]) - host_cpu).as_secs_f64();
        change_cost.push(size as f64, used * 1000.0 / CHANGES as f64);
        subscribers.close();
        group.close();
    }
    Ok(vec![host_idle, subscriber_idle, propagation, change_cost])
}
