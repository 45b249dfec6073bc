//! Duties of a control group that serves a plan: bootstrap, joining, replacement of failed hosts,
//! the directory of endpoints and usage reports.

mod group;

use group::Group;

/// A group of three with an installed plan, and its leader.
fn group_with_plan() -> (Group, usize) {
    let mut group = Group::bootstrap();
    assert!(group.install(1));
    let leader = group.leader().unwrap();
    (group, leader)
}

/// The other two of the first three hosts.
fn others(n: usize) -> [usize; 2] {
    [(n + 1) % 3, (n + 2) % 3]
}

case::cases! {
    three_hosts_bootstrap_one_group: {
        let (mut group, leader) = group_with_plan();
        assert_eq!(group.voters(leader), [0, 1, 2]);
        for n in 0..3 {
            assert_eq!(group.read(n), Some(1));
        }
    };
    acknowledged_plan_survives_leader_failure: {
        let (mut group, leader) = group_with_plan();
        group.crash(leader);
        group.advance(2000);
        let successor = group.leader().unwrap();
        assert_ne!(successor, leader);
        assert_eq!(group.read(successor), Some(1));
    };
    restarted_group_serves_reads_within_1500_ms: {
        let (mut group, _) = group_with_plan();
        (0..3).for_each(|n| group.crash(n));
        (0..3).for_each(|n| group.start(n));
        group.advance(1500);
        let leader = group.leader().unwrap();
        assert_eq!(group.read(leader), Some(1));
    };
    commit_reaches_followers_before_the_next_heartbeat: {
        let (mut group, leader) = group_with_plan();
        assert!(group.install_until_acknowledged(2));
        // Longer than one hop and shorter than the time to the leader's next heartbeat.
        group.advance(5);
        let committed = group.committed(leader);
        for n in others(leader) {
            assert_eq!(group.committed(n), committed);
        }
    };
    restarted_group_elects_a_leader_within_250_ms: {
        let (mut group, _) = group_with_plan();
        (0..3).for_each(|n| group.crash(n));
        (0..3).for_each(|n| group.start(n));
        group.advance(250);
        assert!(group.leader().is_some());
    };
    restarted_majority_waits_for_the_lease_of_an_isolated_leader: {
        let (mut group, leader) = group_with_plan();
        group.isolate(leader);
        for n in others(leader) {
            group.crash(n);
            group.start(n);
        }
        for _ in 0..50 {
            group.advance(10);
            let now = group.leader();
            assert!(now.is_none_or(|n| n == leader), "{now:?} leads beside {leader}");
        }
        group.advance(1500);
        assert!(group.leader().is_some_and(|n| n != leader));
    };
    wiped_host_becomes_voter_again_within_4_s: for which in 0..3 {
        let (mut group, leader) = group_with_plan();
        let wiped = (leader + which) % 3;
        group.crash(wiped);
        group.wipe(wiped);
        group.advance(1000);
        group.start(wiped);
        group.advance(4000);
        let leader = group.leader().unwrap();
        assert_eq!(group.voters(leader), [0, 1, 2], "wiped {wiped}");
        // With the wiped host as a voter again, the group tolerates the loss of another disk.
        let next = others(wiped)[0];
        group.crash(next);
        group.wipe(next);
        group.advance(2000);
        let leader = group.leader().unwrap();
        assert_eq!(group.read(leader), Some(1), "wiped {wiped} and then {next}");
    };
    replacement_host_becomes_voter_in_place_of_the_failed_one: for which in 0..3 {
        let (mut group, leader) = group_with_plan();
        let failed = (leader + which) % 3;
        group.crash(failed);
        group.advance(1000);
        let new = group.add();
        group.advance(4000);
        let leader = group.leader().unwrap();
        let mut expected: Vec<_> = (0..3).filter(|n| *n != failed).collect();
        expected.push(new);
        assert_eq!(group.voters(leader), expected, "failed {failed}");
    };
    fourth_host_is_learner_and_replaces_a_failed_voter: {
        let (mut group, leader) = group_with_plan();
        let spare = group.add();
        group.advance(3000);
        assert_eq!(group.voters(leader), [0, 1, 2]);
        let [failed, _] = others(leader);
        group.crash(failed);
        group.advance(4000);
        let leader = group.leader().unwrap();
        let voters = group.voters(leader);
        assert!(voters.contains(&spare) && !voters.contains(&failed), "{voters:?}");
        // The removed voter returns and becomes the learner.
        group.start(failed);
        group.advance(3000);
        let leader = group.leader().unwrap();
        assert!(group.log_end(leader) < 40, "the group's membership keeps changing");
        assert_eq!(group.voters(leader), voters);
        assert_eq!(group.read(failed), Some(1));
    };
    five_hosts_are_all_voters: {
        let (mut group, _) = group_with_plan();
        group.add();
        group.add();
        group.advance(5000);
        let leader = group.leader().unwrap();
        assert_eq!(group.voters(leader), [0, 1, 2, 3, 4]);
    };
    isolated_host_stays_voter_without_a_replacement: {
        let (mut group, leader) = group_with_plan();
        let [isolated, _] = others(leader);
        group.isolate(isolated);
        group.advance(6000);
        assert_eq!(group.leader(), Some(leader));
        assert!(group.install(2));
        assert_eq!(group.read(isolated), None);
        group.heal();
        group.advance(3000);
        assert_eq!(group.voters(leader), [0, 1, 2]);
        assert_eq!(group.read(isolated), Some(2));
    };
    isolated_leader_serves_no_read: {
        let (mut group, leader) = group_with_plan();
        group.isolate(leader);
        group.advance(2500);
        assert_ne!(group.leader(), Some(leader));
        assert!(group.install(2));
        assert_eq!(group.read(leader), None);
        assert!(group.deployment(leader, 0).is_none());
    };
    plan_not_above_the_installed_version_is_acknowledged_and_ignored: {
        let (mut group, leader) = group_with_plan();
        assert!(group.install(9));
        assert!(group.install(4));
        assert!(group.install(9));
        assert_eq!(group.read(leader), Some(9));
    };
    only_the_leader_reads_the_listing_and_serves_the_directory: {
        let (mut group, leader) = group_with_plan();
        group.advance(3000);
        assert!(others(leader).iter().all(|n| group.listing_reads[*n] == 0));
        let reply = group.deployment(leader, 0).unwrap();
        let directory = reply.directory.unwrap();
        assert_eq!(directory.pages[0].as_slice(), b"list");
        assert!(group.deployment(leader, directory.version).unwrap().directory.is_none());
        group.listing = b"longer list".to_vec();
        group.advance(1000);
        let newer = group.deployment(leader, directory.version).unwrap().directory.unwrap();
        assert!(newer.version > directory.version);
    };
    follower_names_the_leader_and_serves_its_directory: {
        let (mut group, leader) = group_with_plan();
        let [follower, _] = others(leader);
        group.advance(1000);
        let reply = group.deployment(follower, 0).unwrap();
        let directory = group.deployment(leader, 0).unwrap().directory;
        assert!(directory.is_some() && reply.directory == directory);
        assert_eq!(reply.leader.unwrap().ip().to_string(), format!("10.0.0.{leader}"));
        assert_eq!(group.listing_reads[follower], 0);
    };
    // A front that has just started knows no endpoint; an old directory would bring departed ones
    // back into use.
    directory_is_not_served_once_it_is_old: {
        let (mut group, leader) = group_with_plan();
        group.advance(1000);
        group.listing_available = false;
        group.advance(2000);
        for n in [leader, others(leader)[0]] {
            assert!(group.deployment(n, 0).unwrap().directory.is_some());
        }
        group.advance(2000);
        for n in [leader, others(leader)[0]] {
            assert!(group.deployment(n, 0).unwrap().directory.is_none());
        }
        group.listing_available = true;
        group.advance(1500);
        for n in [leader, others(leader)[0]] {
            assert!(group.deployment(n, 0).unwrap().directory.is_some());
        }
    };
    restarted_hosts_serve_no_directory_of_before: {
        let (mut group, _) = group_with_plan();
        group.advance(1000);
        (0..3).for_each(|n| group.crash(n));
        group.listing = b"newer list".to_vec();
        (0..3).for_each(|n| group.start(n));
        for _ in 0..20 {
            for n in 0..3 {
                let reply = group.deployment(n, 0);
                let directory = reply.and_then(|reply| reply.directory);
                assert!(directory.is_none_or(|d| d.pages[0].as_slice() == b"newer list"));
            }
        }
    };
    new_leader_has_a_higher_directory_version: {
        let (mut group, leader) = group_with_plan();
        group.advance(2000);
        let old = group.deployment(leader, 0).unwrap().directory.unwrap().version;
        group.crash(leader);
        group.advance(4000);
        let leader = group.leader().unwrap();
        assert!(group.deployment(leader, old).unwrap().directory.is_some());
    };
    window_is_reported_once_with_the_sum_of_all_fronts: {
        let (mut group, leader) = group_with_plan();
        let window = group.window();
        for _ in 0..14 {
            let open = group.window();
            group.tally("f1", &[(window, 3), (open.max(window + 1), 0)]);
            group.tally("f2", &[(window, 4), (open.max(window + 1), 0)]);
            group.advance(1000);
        }
        let reports: Vec<_> = group.reports.iter().filter(|(_, _, s)| s.window == window).collect();
        assert_eq!(reports.len(), 1);
        assert_eq!((reports[0].0, reports[0].2.runs["ana"]), (leader, 7));
    };
    tally_acknowledged_by_a_leader_survives_its_failure: {
        let (mut group, leader) = group_with_plan();
        let window = group.window();
        group.tally("f1", &[(window, 3)]);
        group.advance(1000);
        group.crash(leader);
        group.advance(14_000);
        let reports: Vec<_> = group.reports.iter().filter(|(_, _, s)| s.window == window).collect();
        assert_eq!(reports.len(), 1);
        assert_eq!(reports[0].2.runs["ana"], 3);
    };
    // The acceptance cannot be proposed without a lease. The report is repeated, with the same
    // counts, and the windows after it follow.
    report_accepted_while_the_lease_has_lapsed_is_repeated: {
        let (mut group, leader) = group_with_plan();
        let window = group.window();
        group.report_time = 505_000;
        group.tally("f1", &[(window, 3), (window + 1, 4)]);
        while group.reports.is_empty() {
            group.advance(1);
        }
        group.isolate(leader);
        group.advance(508);
        group.heal();
        group.report_time = 1000;
        let term = group.reports[0].1;
        group.advance(20_000);
        // The group kept its leader, so no new term has started the reports anew.
        assert!(group.reports.iter().all(|(n, at, _)| (*n, *at) == (leader, term)));
        let counts = |at: u64| {
            let reports = group.reports.iter().filter(move |(.., s)| s.window == at);
            reports.map(|(.., s)| s.runs["ana"]).collect::<Vec<_>>()
        };
        assert_eq!(counts(window), [3, 3]);
        assert_eq!(counts(window + 1), [4]);
    };
    rejected_report_is_retried_with_the_same_counts: {
        let (mut group, leader) = group_with_plan();
        let window = group.window();
        group.accepts_reports = false;
        group.tally("f1", &[(window, 3)]);
        group.advance(14_000);
        group.crash(leader);
        group.advance(8_000);
        group.accepts_reports = true;
        group.advance(4_000);
        let reports: Vec<_> = group.reports.iter().filter(|(_, _, s)| s.window == window).collect();
        assert!(reports.len() > 2);
        assert!(reports.iter().all(|(_, _, s)| s.runs["ana"] == 3));
        // A new leader reports under a higher fencing term.
        assert!(reports.windows(2).all(|pair| pair[0].1 < pair[1].1 || pair[0].0 == pair[1].0));
    };
    // Guards against statements without a bound while the billing interface accepts none.
    no_window_is_sealed_while_statements_take_their_share: {
        let (mut group, leader) = group_with_plan();
        group.accepts_reports = false;
        group.account = "a".repeat(2000);
        let first = group.window();
        for _ in 0..40 {
            let window = group.window();
            group.tally("f1", &[(window, 1), (window + 1, 0)]);
            group.advance(5000);
        }
        // A statement takes a little more than 2,000 bytes of a quarter of the bound.
        let most = group::limits().pending as u64 / 4 / 2000 + 1;
        let sealed = group.last_sealed(leader).unwrap() + 1 - first;
        assert!((most - 2..=most).contains(&sealed), "{sealed} windows of {most}");
        group.accepts_reports = true;
        group.advance(60_000);
        let sealed = group.last_sealed(leader).unwrap() + 1 - first;
        assert!(sealed > most, "{sealed} windows");
    };
    new_leader_reports_only_after_its_predecessor_s_lease: {
        let (mut group, leader) = group_with_plan();
        group.accepts_reports = false;
        let window = group.window();
        group.tally("f1", &[(window, 3)]);
        group.advance(12_000);
        group.crash(leader);
        let before = group.reports.len();
        group.advance(3000);
        assert_eq!(group.reports.len(), before);
        group.advance(3000);
        assert!(group.reports.len() > before);
    };
}
