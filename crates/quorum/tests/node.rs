//! Rules of one node, each on its own.

use quorum::message::{Append, Appended, Install, Poll};
use quorum::node::{Hard, State};
use quorum::{Entry, Envelope, Id, Membership, Message, Node, Payload, Settings, Snapshot};
use std::time::Duration;

fn id(name: &str) -> Id {
    Id::new(name, 1)
}

fn membership() -> Membership {
    Membership { cluster: 7, voters: ["a", "b", "c"].map(id).into() }
}

fn entry(index: u64, term: u64) -> Entry {
    let payload = if index == 1 { Payload::Voters(membership()) } else { Payload::Noop };
    Entry { index, term, payload }
}

/// A voter `b` that holds entries of term 1 up to an index.
fn voter(last: u64, commit: u64) -> Node {
    let state = State {
        hard: Hard { term: 1, vote: None },
        entries: (1..=last).map(|index| entry(index, 1)).collect(),
        commit,
        ..State::default()
    };
    Node::restore(id("b"), true, Settings::default(), 1, state)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Everything that the node sends until it has nothing more to do.
fn drain(node: &mut Node) -> Vec<Message> {
    let mut messages = Vec::new();
    while let Some(output) = node.take() {
        node.persisted();
        messages.extend(output.messages.into_iter().map(|Envelope { message, .. }| message));
    }
    messages
}

fn poll(term: u64, last_index: u64, trial: bool) -> Message {
    Message::Poll(Poll { term, last_index, last_term: 1, trial, asked: false })
}

fn append(term: u64, prev: u64, entries: Vec<Entry>, commit: u64) -> Message {
    let prev_term = u64::from(prev > 0);
    let sent = Duration::ZERO;
    Message::Append(Append { term, prev_index: prev, prev_term, entries, commit, sent })
}

fn granted(messages: &[Message]) -> bool {
    messages.iter().any(|message| matches!(message, Message::Ballot(ballot) if ballot.granted))
}

#[test]
fn a_late_snapshot_drops_no_acknowledged_entry() {
    let mut node = voter(6, 2);
    drain(&mut node);
    let snapshot = Snapshot { index: 4, term: 1, membership: membership(), data: Vec::new() };
    let install = Install { term: 1, snapshot, sent: Duration::ZERO };
    node.receive(millis(10), &id("a"), Message::Install(install));
    drain(&mut node);
    assert_eq!(node.last_index(), 6);
    assert_eq!(node.commit(), 4);
}

#[test]
fn a_restarted_voter_waits_one_election_before_it_votes() {
    let mut node = voter(3, 3);
    node.receive(millis(100), &id("a"), poll(2, 3, false));
    assert!(!granted(&drain(&mut node)), "the life before may have promised a lease");
    node.receive(millis(1201), &id("a"), poll(2, 3, false));
    assert!(granted(&drain(&mut node)));
}

#[test]
fn a_voter_that_hears_a_leader_votes_for_nobody() {
    let mut node = voter(3, 3);
    node.receive(millis(2000), &id("a"), append(1, 3, Vec::new(), 3));
    drain(&mut node);
    for trial in [true, false] {
        node.receive(millis(2500), &id("c"), poll(9, 3, trial));
        assert!(!granted(&drain(&mut node)));
        assert_eq!(node.term(), 1, "the term must not rise");
    }
}

#[test]
fn a_voter_votes_once_in_a_term_and_only_for_a_log_as_new() {
    let mut node = voter(3, 3);
    node.receive(millis(2000), &id("a"), poll(2, 2, false));
    assert!(!granted(&drain(&mut node)), "the candidate's log is older");
    node.receive(millis(2000), &id("a"), poll(3, 3, false));
    assert!(granted(&drain(&mut node)));
    node.receive(millis(2010), &id("c"), poll(3, 3, false));
    assert!(!granted(&drain(&mut node)), "a second vote in term 3");
    node.receive(millis(2020), &id("a"), poll(3, 3, false));
    assert!(granted(&drain(&mut node)), "the same vote again");
}

#[test]
fn a_node_without_a_disk_never_votes_or_leads() {
    let mut node = Node::new(id("b"), false, Settings::default(), 1);
    node.receive(millis(10), &id("a"), append(1, 0, vec![entry(1, 1), entry(2, 1)], 2));
    drain(&mut node);
    node.receive(millis(9000), &id("a"), poll(5, 9, false));
    node.tick(millis(60_000));
    assert_eq!(drain(&mut node), []);
    assert!(!node.leads());
}

#[test]
fn an_entry_of_an_earlier_term_commits_only_with_one_of_the_leaders_own() {
    let mut node = voter(3, 1);
    drain(&mut node);
    node.tick(millis(5000)); // a trial round
    let ballot = |trial| {
        let term = 2;
        Message::Ballot(quorum::message::Ballot { term, trial, granted: true })
    };
    drain(&mut node);
    node.receive(millis(5001), &id("c"), ballot(true));
    drain(&mut node);
    node.receive(millis(5002), &id("c"), ballot(false));
    drain(&mut node);
    assert!(node.leads());
    let appended = |matched| {
        let sent = millis(5002);
        Message::Appended(Appended { term: 2, accepted: true, matched, sent })
    };
    node.receive(millis(5003), &id("c"), appended(3));
    assert_eq!(node.commit(), 1, "entry 3 is of term 1");
    assert!(!node.has_lease(millis(5003)), "what is committed is not known yet");
    node.receive(millis(5004), &id("c"), appended(4));
    assert_eq!(node.commit(), 4);
    assert!(node.has_lease(millis(5005)));
    assert!(!node.has_lease(millis(6003)), "the lease has ended");
    let proposed = node.propose(millis(6003), Vec::new());
    assert_eq!(proposed, Err(quorum::Error::NoLease));
}

#[test]
fn entries_of_another_leader_are_replaced() {
    let mut node = voter(4, 2);
    drain(&mut node);
    node.receive(millis(10), &id("a"), append(2, 2, vec![entry(3, 2)], 2));
    let output = node.take().unwrap();
    assert_eq!(output.truncate, Some(3));
    assert_eq!(output.append, [entry(3, 2)]);
    assert_eq!(node.last_index(), 3);
}

/// A leader `b` of term 2 that voter `c` has elected.
fn leader(last: u64) -> Node {
    let mut node = voter(last, 1);
    node.tick(millis(5000));
    drain(&mut node);
    for trial in [true, false] {
        let ballot = quorum::message::Ballot { term: 2, trial, granted: true };
        node.receive(millis(5001), &id("c"), Message::Ballot(ballot));
        drain(&mut node);
    }
    assert!(node.leads());
    node
}

fn entries_in(messages: &[Message]) -> usize {
    let count = |message: &Message| match message {
        Message::Append(append) => append.entries.len(),
        _ => 0,
    };
    messages.iter().map(count).sum()
}

#[test]
fn many_rejections_at_once_are_answered_by_one_resend() {
    let mut node = leader(300);
    let appended = |accepted, matched| {
        let sent = millis(5001);
        Message::Appended(Appended { term: 2, accepted, matched, sent })
    };
    node.receive(millis(5002), &id("c"), appended(true, 301));
    drain(&mut node);
    // Voter `a` was frozen while the leader went on, and now rejects all it got.
    let mut sent = 0;
    for _ in 0..100 {
        node.receive(millis(5003), &id("a"), appended(false, 10));
        sent += entries_in(&drain(&mut node));
    }
    assert!(sent <= 256, "{sent} entries for 100 rejections");
    node.receive(millis(5004), &id("a"), appended(true, 266));
    assert_eq!(entries_in(&drain(&mut node)), 301 - 266, "it goes on once one is accepted");
}

#[test]
fn a_leader_that_leaves_hands_its_lead_over_at_once() {
    let mut node = leader(3);
    node.connect(id("a"));
    node.connect(id("c"));
    drain(&mut node);
    node.hand_over_lead();
    let sent = drain(&mut node);
    assert!(sent.contains(&Message::TakeOver(2)), "{sent:?}");
    assert!(!node.leads());

    let mut heir = voter(3, 3);
    heir.receive(millis(5000), &id("a"), append(2, 3, Vec::new(), 3));
    drain(&mut heir);
    heir.receive(millis(5010), &id("a"), Message::TakeOver(2));
    let asked = |message: &Message| matches!(message, Message::Poll(poll) if poll.asked);
    assert!(drain(&mut heir).iter().any(asked), "it does not wait for an election span");

    let mut other = voter(3, 3);
    other.receive(millis(5000), &id("a"), append(2, 3, Vec::new(), 3));
    drain(&mut other);
    let poll = Poll { term: 3, last_index: 3, last_term: 1, trial: false, asked: true };
    other.receive(millis(5011), &id("c"), Message::Poll(poll));
    assert!(granted(&drain(&mut other)), "the leader itself asked for it");
}

#[test]
fn a_rejected_probe_is_followed_by_the_next_at_once() {
    let mut node = leader(300);
    let rejected = |matched, sent| {
        Message::Appended(Appended { term: 2, accepted: false, matched, sent: millis(sent) })
    };
    node.receive(millis(5003), &id("a"), rejected(200, 5001));
    assert!(entries_in(&drain(&mut node)) > 0);
    for step in 1..=100 {
        let now = 5003 + step;
        node.receive(millis(now), &id("a"), rejected(200 - step, now - 1));
        assert!(entries_in(&drain(&mut node)) > 0, "step {step} waits");
    }
}

#[test]
fn a_follower_skips_a_whole_term_that_the_leader_does_not_have() {
    let mut entries: Vec<Entry> = (1..=10).map(|index| entry(index, 1)).collect();
    entries.extend((11..=200).map(|index| entry(index, 2)));
    let hard = Hard { term: 2, vote: None };
    let state = State { hard, entries, commit: 5, ..State::default() };
    let mut node = Node::restore(id("b"), true, Settings::default(), 1, state);
    let append = Append {
        term: 3,
        prev_index: 150,
        prev_term: 3,
        entries: Vec::new(),
        commit: 5,
        sent: Duration::ZERO,
    };
    node.receive(millis(10), &id("a"), Message::Append(append));
    let answers = drain(&mut node);
    let Some(Message::Appended(appended)) = answers.first() else { panic!("{answers:?}") };
    assert_eq!((appended.accepted, appended.matched), (false, 10));
}

#[test]
fn a_trial_that_nobody_answers_is_repeated_soon() {
    let mut node = voter(3, 3);
    drain(&mut node);
    let mut trials = Vec::new();
    for now in (0..4000).step_by(10) {
        node.tick(millis(now));
        let asked = drain(&mut node).iter().any(|m| matches!(m, Message::Poll(p) if p.trial));
        if asked {
            trials.push(now);
        }
    }
    assert!(trials[0] >= 1200, "the leader before may live");
    let longest = trials.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
    assert!(longest <= 600, "a voter that was quiet is asked again after {longest} ms");
    assert_eq!(node.term(), 1, "trials change nothing");
}
