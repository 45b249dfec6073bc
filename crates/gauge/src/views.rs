//! What following the configuration costs: processor time and bytes of control host and follower.

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
use wire::SubscriberRole;

use crate::group::{
    Group,
    configuration,
    sealer, //
};
use crate::process::cpu;
use crate::sample::Series;

/// Followers of one control host.
const SIZES: [usize; 5] = [10, 50, 100, 300, 600];
/// How long each size is measured.
const SPAN: Duration = Duration::from_secs(5);
/// Endpoints of the configuration followed.
const ENDPOINTS: usize = 660;
/// How long all followers may take to reach a revision.
const PATIENCE: Duration = Duration::from_secs(20);
/// Changes in the burst measured.
const BURST: u64 = 20;

struct Crowd {
    followers: Vec<Subscriber>,
    held: Arc<Vec<AtomicU64>>,
}

impl Crowd {
    fn start(group: &Group, size: usize) -> Result<Self, String> {
        let control = ControlClient::new(sealer()?, group.hosts.clone());
        let held = Arc::new((0..size).map(|_| AtomicU64::new(0)).collect::<Vec<_>>());
        let mut followers = Vec::new();
        for n in 0..size {
            let identity = SubscriberIdentity {
                host: format!("f{n}")
                    .as_str()
                    .try_into()
                    .map_err(|f: ids::NameError| f.to_string())?,
                side: SubscriberRole::Agent,
                incarnation: Incarnation(n as u64),
            };
            let mut view = Config::default();
            let held = Arc::clone(&held);
            let deliver = move |viewed: peer::ViewUpdate| {
                let _ = view.apply_update(&viewed.update);
                held[n].store(view.revision().0, Ordering::Release);
                Some(view.revision())
            };
            let clock = Monotonic::start();
            let follower = Subscriber::start(
                identity,
                control.clone(),
                clock,
                obs::discard(),
                Counters::local(),
                deliver,
            );
            followers.push(follower.map_err(|fault| fault.to_string())?);
        }
        Ok(Self { followers, held })
    }

    /// Waits until every follower holds a revision.
    fn wait(&self, revision: Revision) -> Result<(), String> {
        let end = Instant::now() + PATIENCE;
        let behind = |held: &AtomicU64| held.load(Ordering::Acquire) < revision.0;
        while self.held.iter().any(behind) {
            if Instant::now() >= end {
                let late = self.held.iter().filter(|held| behind(held)).count();
                return Err(format!(
                    "{late} followers did not reach revision {revision}"
                ));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    fn close(self) {
        self.followers.iter().for_each(Subscriber::stop);
        self.followers.into_iter().for_each(Subscriber::close);
    }
}

pub(crate) fn measure() -> Result<Vec<Series>, String> {
    let mut leader = Series::new("control host, percent of a core, idle", "followers");
    let mut each = Series::new("one follower, percent of a core, idle", "followers");
    let mut spread = Series::new("change in force at every follower, ms", "followers");
    let mut burst = Series::new("control host, CPU ms for one change", "followers");
    for size in SIZES {
        let group = Group::start(1)?;
        let first = group.apply(&configuration(ENDPOINTS)?)?;
        let crowd = Crowd::start(&group, size)?;
        crowd.wait(first)?;
        let share = |used: Duration| used.as_secs_f64() / SPAN.as_secs_f64() * 100.0;
        let (host, follow) = (cpu(&["control-"]), cpu(&["f"]));
        std::thread::sleep(SPAN);
        leader.push(size as f64, share(cpu(&["control-"]) - host));
        each.push(size as f64, share(cpu(&["f"]) - follow) / size as f64);
        let host = cpu(&["control-"]);
        let began = Instant::now();
        for n in 0..BURST {
            let zone = format!(
                r#"[{{"put-zone": {{"name": "zone-0", "region": "region-0", "capacity": {}}}}}]"#,
                n + 1
            );
            let change: Vec<_> = serde_json::from_str(&zone).map_err(|f| f.to_string())?;
            crowd.wait(group.apply(&change)?)?;
        }
        spread.push(
            size as f64,
            began.elapsed().as_secs_f64() * 1000.0 / BURST as f64,
        );
        let used = (cpu(&["control-"]) - host).as_secs_f64();
        burst.push(size as f64, used * 1000.0 / BURST as f64);
        crowd.close();
        group.close();
    }
    Ok(vec![leader, each, spread, burst])
}
