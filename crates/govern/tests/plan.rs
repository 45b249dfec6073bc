//! What the control group does for a plan: founding, joining, replacement, lists and usage.

mod group;

use group::Group;

/// A group of three with a plan in force, and who leads it.
fn led() -> (Group, usize) {
    let mut group = Group::founded();
    assert!(group.install(1));
    let leader = group.leader().unwrap();
    (group, leader)
}

/// The hosts of three other than one.
fn others(leader: usize) -> [usize; 2] {
    [(leader + 1) % 3, (leader + 2) % 3]
}

case::cases! {
    seeds_found_one_group: {
        let (mut group, leader) = led();
        assert_eq!(group.voters(leader), [0, 1, 2]);
        for n in 0..3 {
            assert_eq!(group.read(n), Some(1));
        }
    };
    acknowledged_plan_outlives_its_leader: {
        let (mut group, leader) = led();
        group.crash(leader);
        group.run(2000);
        let successor = group.leader().unwrap();
        assert_ne!(successor, leader);
        assert_eq!(group.read(successor), Some(1));
    };
    all_stopped_at_once_serve_again_within_a_second_and_a_half: {
        let (mut group, _) = led();
        (0..3).for_each(|n| group.crash(n));
        (0..3).for_each(|n| group.start(n));
        group.run(1500);
        let leader = group.leader().unwrap();
        assert_eq!(group.read(leader), Some(1));
    };
    followers_learn_of_a_commit_at_once: {
        let (mut group, leader) = led();
        assert!(group.install_until_acknowledged(2));
        // Longer than a hop, shorter than what is left until any heartbeat of the leader.
        group.run(5);
        let committed = group.committed(leader);
        for n in others(leader) {
            assert_eq!(group.committed(n), committed);
        }
    };
    all_restarted_at_once_are_led_within_a_quarter_second: {
        let (mut group, _) = led();
        (0..3).for_each(|n| group.crash(n));
        (0..3).for_each(|n| group.start(n));
        group.run(250);
        assert!(group.leader().is_some());
    };
    restarted_majority_waits_for_a_leader_that_is_cut_off: {
        let (mut group, leader) = led();
        group.isolate(leader);
        for n in others(leader) {
            group.crash(n);
            group.start(n);
        }
        for _ in 0..50 {
            group.run(10);
            let now = group.leader();
            assert!(now.is_none_or(|n| n == leader), "{now:?} leads beside {leader}");
        }
        group.run(1500);
        assert!(group.leader().is_some_and(|n| n != leader));
    };
    emptied_host_votes_again_within_the_time_to_catch_up: for which in 0..3 {
        let (mut group, leader) = led();
        let lost = (leader + which) % 3;
        group.crash(lost);
        group.wipe(lost);
        group.run(1000);
        group.start(lost);
        group.run(4000);
        let leader = group.leader().unwrap();
        assert_eq!(group.voters(leader), [0, 1, 2], "lost {lost}");
        // Now the next loss may come.
        let next = others(lost)[0];
        group.crash(next);
        group.wipe(next);
        group.run(2000);
        let leader = group.leader().unwrap();
        assert_eq!(group.read(leader), Some(1), "lost {lost} and then {next}");
    };
    replaced_host_gives_its_vote_to_the_new_one: for which in 0..3 {
        let (mut group, leader) = led();
        let gone = (leader + which) % 3;
        group.crash(gone);
        group.run(1000);
        let new = group.add();
        group.run(4000);
        let leader = group.leader().unwrap();
        let mut expected: Vec<_> = (0..3).filter(|n| *n != gone).collect();
        expected.push(new);
        assert_eq!(group.voters(leader), expected, "gone {gone}");
    };
    fourth_host_stands_by_and_takes_a_lost_vote: {
        let (mut group, leader) = led();
        let spare = group.add();
        group.run(3000);
        assert_eq!(group.voters(leader), [0, 1, 2]);
        let [lost, _] = others(leader);
        group.crash(lost);
        group.run(4000);
        let leader = group.leader().unwrap();
        let voters = group.voters(leader);
        assert!(voters.contains(&spare) && !voters.contains(&lost), "{voters:?}");
        // The one that was thought lost comes back and stands by in its turn.
        group.start(lost);
        group.run(3000);
        let leader = group.leader().unwrap();
        assert!(group.log_end(leader) < 40, "the group keeps changing");
        assert_eq!(group.voters(leader), voters);
        assert_eq!(group.read(lost), Some(1));
    };
    five_hosts_make_five_voters: {
        let (mut group, _) = led();
        group.add();
        group.add();
        group.run(5000);
        let leader = group.leader().unwrap();
        assert_eq!(group.voters(leader), [0, 1, 2, 3, 4]);
    };
    host_that_is_only_cut_off_keeps_its_vote: {
        let (mut group, leader) = led();
        let [cut, _] = others(leader);
        group.isolate(cut);
        group.run(6000);
        assert_eq!(group.leader(), Some(leader));
        assert!(group.install(2));
        assert_eq!(group.read(cut), None);
        group.heal();
        group.run(3000);
        assert_eq!(group.voters(leader), [0, 1, 2]);
        assert_eq!(group.read(cut), Some(2));
    };
    leader_that_is_cut_off_confirms_nothing: {
        let (mut group, leader) = led();
        group.isolate(leader);
        group.run(2500);
        assert_ne!(group.leader(), Some(leader));
        assert!(group.install(2));
        assert_eq!(group.read(leader), None);
        assert!(group.deployment(leader, 0).is_none());
    };
    older_plan_and_other_content_are_acknowledged_and_change_nothing: {
        let (mut group, leader) = led();
        assert!(group.install(9));
        assert!(group.install(4));
        assert!(group.install(9));
        assert_eq!(group.read(leader), Some(9));
    };
    leader_alone_reads_the_list_and_hands_it_out: {
        let (mut group, leader) = led();
        group.run(3000);
        assert!(others(leader).iter().all(|n| group.reads[*n] == 0));
        let reply = group.deployment(leader, 0).unwrap();
        let directory = reply.directory.unwrap();
        assert_eq!(directory.pages[0].as_slice(), b"list");
        assert!(group.deployment(leader, directory.version).unwrap().directory.is_none());
        group.list = b"longer list".to_vec();
        group.run(1000);
        let newer = group.deployment(leader, directory.version).unwrap().directory.unwrap();
        assert!(newer.version > directory.version);
    };
    follower_names_the_leader_and_has_no_list: {
        let (mut group, leader) = led();
        let [follower, _] = others(leader);
        let reply = group.deployment(follower, 0).unwrap();
        assert!(reply.directory.is_none() && reply.age.is_none());
        assert_eq!(reply.leader.unwrap().ip().to_string(), format!("10.0.0.{leader}"));
    };
    next_leader_s_list_is_newer: {
        let (mut group, leader) = led();
        group.run(2000);
        let old = group.deployment(leader, 0).unwrap().directory.unwrap().version;
        group.crash(leader);
        group.run(4000);
        let leader = group.leader().unwrap();
        assert!(group.deployment(leader, old).unwrap().directory.is_some());
    };
    window_is_reported_once_with_the_sum_of_all_fronts: {
        let (mut group, leader) = led();
        let window = group.window();
        for _ in 0..14 {
            let open = group.window();
            group.tally("f1", &[(window, 3), (open.max(window + 1), 0)]);
            group.tally("f2", &[(window, 4), (open.max(window + 1), 0)]);
            group.run(1000);
        }
        let about: Vec<_> = group.bills.iter().filter(|(_, _, s)| s.window == window).collect();
        assert_eq!(about.len(), 1);
        assert_eq!((about[0].0, about[0].2.runs["ana"]), (leader, 7));
    };
    figures_that_the_leader_heard_outlive_it: {
        let (mut group, leader) = led();
        let window = group.window();
        group.tally("f1", &[(window, 3)]);
        group.run(1000);
        group.crash(leader);
        group.run(14_000);
        let about: Vec<_> = group.bills.iter().filter(|(_, _, s)| s.window == window).collect();
        assert_eq!(about.len(), 1);
        assert_eq!(about[0].2.runs["ana"], 3);
    };
    refused_report_is_sent_again_with_the_same_figures: {
        let (mut group, leader) = led();
        let window = group.window();
        group.billing = false;
        group.tally("f1", &[(window, 3)]);
        group.run(14_000);
        group.crash(leader);
        group.run(8_000);
        group.billing = true;
        group.run(4_000);
        let about: Vec<_> = group.bills.iter().filter(|(_, _, s)| s.window == window).collect();
        assert!(about.len() > 2);
        assert!(about.iter().all(|(_, _, s)| s.runs["ana"] == 3));
        // Fences rise with the holder.
        assert!(about.windows(2).all(|pair| pair[0].1 < pair[1].1 || pair[0].0 == pair[1].0));
    };
    new_leader_s_first_report_is_later_than_the_last_one_s_lease: {
        let (mut group, leader) = led();
        group.billing = false;
        let window = group.window();
        group.tally("f1", &[(window, 3)]);
        group.run(12_000);
        group.crash(leader);
        let before = group.bills.len();
        group.run(3000);
        assert_eq!(group.bills.len(), before);
        group.run(3000);
        assert!(group.bills.len() > before);
    };
}
