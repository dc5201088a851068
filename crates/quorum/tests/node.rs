//! Tests of single rules of the consensus protocol on one node.

use quorum::message::{AppendRequest, AppendResponse, InstallSnapshot, VoteRequest, VoteResponse};
use quorum::node::{HardState, State};
use quorum::{Entry, Envelope, Id, Membership, Message, Node, Payload, Snapshot, Timing};
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

/// Returns voter `b` with entries of term 1 up to index `last`.
fn voter(last: u64, commit_index: u64) -> Node {
    voter_since(Duration::ZERO, last, commit_index)
}

/// Returns the voter of a process that starts at this time.
fn voter_since(now: Duration, last: u64, commit_index: u64) -> Node {
    let state = State {
        hard_state: HardState { term: 1, vote: None },
        entries: (1..=last).map(|index| entry(index, 1)).collect(),
        commit_index,
        ..State::default()
    };
    Node::restore(id("b"), true, Timing::default(), 1, state, now)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Persists all output and returns the messages in it.
fn drain(node: &mut Node) -> Vec<Message> {
    drain_envelopes(node).into_iter().map(|Envelope { message, .. }| message).collect()
}

/// Persists all output and returns the messages in it with their destinations.
fn drain_envelopes(node: &mut Node) -> Vec<Envelope> {
    let mut envelopes = Vec::new();
    while let Some(output) = node.take_output() {
        node.output_persisted();
        envelopes.extend(output.messages);
    }
    envelopes
}

fn vote_request(term: u64, last_index: u64, pre_vote: bool) -> Message {
    Message::VoteRequest(VoteRequest {
        term,
        last_index,
        last_term: 1,
        pre_vote,
        leadership_transfer: false,
    })
}

fn append(term: u64, prev: u64, entries: Vec<Entry>, commit_index: u64) -> Message {
    let prev_term = u64::from(prev > 0);
    let sent_at = Duration::ZERO;
    Message::AppendRequest(AppendRequest {
        term,
        prev_index: prev,
        prev_term,
        entries,
        commit_index,
        sent_at,
    })
}

fn granted(messages: &[Message]) -> bool {
    messages.iter().any(
        |message| matches!(message, Message::VoteResponse(vote_response) if vote_response.granted),
    )
}

#[test]
fn a_delayed_snapshot_drops_no_acknowledged_entry() {
    let mut node = voter(6, 2);
    drain(&mut node);
    let snapshot = Snapshot { index: 4, term: 1, membership: membership(), data: Vec::new() };
    let install_snapshot = InstallSnapshot { term: 1, snapshot, sent_at: Duration::ZERO };
    node.receive(millis(10), &id("a"), Message::InstallSnapshot(install_snapshot));
    drain(&mut node);
    assert_eq!(node.last_index(), 6);
    assert_eq!(node.commit_index(), 4);
}

#[test]
fn a_restarted_voter_waits_one_election_timeout_before_it_votes() {
    let mut node = voter(3, 3);
    node.receive(millis(100), &id("a"), vote_request(2, 3, false));
    assert!(!granted(&drain(&mut node)), "the node may have granted a lease before its restart");
    node.receive(millis(1201), &id("a"), vote_request(2, 3, false));
    assert!(granted(&drain(&mut node)));
}

#[test]
fn a_voter_whose_process_restarts_on_a_running_clock_waits_before_it_votes() {
    let started_at = millis(1_000_000);
    let mut node = voter_since(started_at, 3, 3);
    for pre_vote in [true, false] {
        node.receive(started_at + millis(100), &id("a"), vote_request(2, 3, pre_vote));
        assert!(!granted(&drain(&mut node)), "an earlier process may have granted a lease");
    }
    node.receive(started_at + millis(1201), &id("a"), vote_request(2, 3, false));
    assert!(granted(&drain(&mut node)));
}

#[test]
fn a_voter_in_contact_with_a_leader_grants_no_vote() {
    let mut node = voter(3, 3);
    node.receive(millis(2000), &id("a"), append(1, 3, Vec::new(), 3));
    drain(&mut node);
    for pre_vote in [true, false] {
        node.receive(millis(2500), &id("c"), vote_request(9, 3, pre_vote));
        assert!(!granted(&drain(&mut node)));
        assert_eq!(node.term(), 1, "the term must not rise");
    }
}

#[test]
fn a_voter_votes_once_per_term_and_only_for_an_up_to_date_log() {
    let mut node = voter(3, 3);
    node.receive(millis(2000), &id("a"), vote_request(2, 2, false));
    assert!(!granted(&drain(&mut node)), "the candidate's log is older");
    node.receive(millis(2000), &id("a"), vote_request(3, 3, false));
    assert!(granted(&drain(&mut node)));
    node.receive(millis(2010), &id("c"), vote_request(3, 3, false));
    assert!(!granted(&drain(&mut node)), "a second vote in term 3");
    node.receive(millis(2020), &id("a"), vote_request(3, 3, false));
    assert!(granted(&drain(&mut node)), "the same vote again");
}

#[test]
fn a_node_without_a_disk_never_votes_or_leads() {
    let mut node = Node::new(id("b"), false, Timing::default(), 1);
    node.receive(millis(10), &id("a"), append(1, 0, vec![entry(1, 1), entry(2, 1)], 2));
    drain(&mut node);
    node.receive(millis(9000), &id("a"), vote_request(5, 9, false));
    node.tick(millis(60_000));
    assert_eq!(drain(&mut node), []);
    assert!(!node.is_leader());
}

#[test]
fn an_entry_of_an_earlier_term_commits_only_with_one_of_the_leaders_own() {
    let mut node = voter(3, 1);
    drain(&mut node);
    node.tick(millis(5000)); // starts a pre-vote
    let vote_response = |pre_vote| {
        let term = 2;
        Message::VoteResponse(VoteResponse { term, pre_vote, granted: true })
    };
    drain(&mut node);
    node.receive(millis(5001), &id("c"), vote_response(true));
    drain(&mut node);
    node.receive(millis(5002), &id("c"), vote_response(false));
    drain(&mut node);
    assert!(node.is_leader());
    let append_response = |match_index| {
        let sent_at = millis(5002);
        Message::AppendResponse(AppendResponse { term: 2, accepted: true, match_index, sent_at })
    };
    node.receive(millis(5003), &id("c"), append_response(3));
    assert_eq!(node.commit_index(), 1, "entry 3 is of term 1");
    assert!(!node.has_lease(millis(5003)), "no entry of its own term is committed yet");
    node.receive(millis(5004), &id("c"), append_response(4));
    assert_eq!(node.commit_index(), 4);
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
    let output = node.take_output().unwrap();
    assert_eq!(output.truncate, Some(3));
    assert_eq!(output.append, [entry(3, 2)]);
    assert_eq!(node.last_index(), 3);
}

/// Returns leader `b` of term 2, elected by voter `c`.
fn leader(last: u64) -> Node {
    let mut node = voter(last, 1);
    node.tick(millis(5000));
    drain(&mut node);
    for pre_vote in [true, false] {
        let vote_response = VoteResponse { term: 2, pre_vote, granted: true };
        node.receive(millis(5001), &id("c"), Message::VoteResponse(vote_response));
        drain(&mut node);
    }
    assert!(node.is_leader());
    node
}

/// Number of entries in all append requests.
fn count_entries(messages: &[Message]) -> usize {
    let count = |message: &Message| match message {
        Message::AppendRequest(append) => append.entries.len(),
        _ => 0,
    };
    messages.iter().map(count).sum()
}

#[test]
fn many_rejections_at_once_cause_one_resend() {
    let mut node = leader(300);
    let append_response = |accepted, match_index| {
        let sent_at = millis(5001);
        Message::AppendResponse(AppendResponse { term: 2, accepted, match_index, sent_at })
    };
    node.receive(millis(5002), &id("c"), append_response(true, 301));
    drain(&mut node);
    // Voter `a` was frozen while the leader kept sending, and rejects all requests at once.
    let mut sent_entries = 0;
    for _ in 0..100 {
        node.receive(millis(5003), &id("a"), append_response(false, 10));
        sent_entries += count_entries(&drain(&mut node));
    }
    assert!(sent_entries <= 256, "{sent_entries} entries for 100 rejections");
    node.receive(millis(5004), &id("a"), append_response(true, 266));
    assert_eq!(
        count_entries(&drain(&mut node)),
        301 - 266,
        "sending continues once one request is accepted"
    );
}

#[test]
fn a_leader_that_steps_down_transfers_leadership_at_once() {
    let mut node = leader(3);
    node.connect(id("a"));
    node.connect(id("c"));
    drain(&mut node);
    node.transfer_leadership();
    let messages = drain(&mut node);
    assert!(messages.contains(&Message::TimeoutNow(2)), "{messages:?}");
    assert!(!node.is_leader());

    let mut successor = voter(3, 3);
    successor.receive(millis(5000), &id("a"), append(2, 3, Vec::new(), 3));
    drain(&mut successor);
    successor.receive(millis(5010), &id("a"), Message::TimeoutNow(2));
    let is_transfer_request = |message: &Message| matches!(message, Message::VoteRequest(vote_request) if vote_request.leadership_transfer);
    assert!(
        drain(&mut successor).iter().any(is_transfer_request),
        "the election starts without waiting for a timeout"
    );

    let mut other = voter(3, 3);
    other.receive(millis(5000), &id("a"), append(2, 3, Vec::new(), 3));
    drain(&mut other);
    let vote_request = VoteRequest {
        term: 3,
        last_index: 3,
        last_term: 1,
        pre_vote: false,
        leadership_transfer: true,
    };
    other.receive(millis(5011), &id("c"), Message::VoteRequest(vote_request));
    assert!(granted(&drain(&mut other)), "the leader itself asked for it");
}

#[test]
fn a_rejected_probe_is_followed_by_the_next_one_at_once() {
    let mut node = leader(300);
    let rejected = |match_index, sent_at| {
        Message::AppendResponse(AppendResponse {
            term: 2,
            accepted: false,
            match_index,
            sent_at: millis(sent_at),
        })
    };
    node.receive(millis(5003), &id("a"), rejected(200, 5001));
    assert!(count_entries(&drain(&mut node)) > 0);
    for step in 1..=100 {
        let now = 5003 + step;
        node.receive(millis(now), &id("a"), rejected(200 - step, now - 1));
        assert!(count_entries(&drain(&mut node)) > 0, "no probe is sent at step {step}");
    }
}

#[test]
fn a_rejection_skips_a_whole_term_that_the_leader_does_not_have() {
    let mut entries: Vec<Entry> = (1..=10).map(|index| entry(index, 1)).collect();
    entries.extend((11..=200).map(|index| entry(index, 2)));
    let hard_state = HardState { term: 2, vote: None };
    let state = State { hard_state, entries, commit_index: 5, ..State::default() };
    let mut node = Node::restore(id("b"), true, Timing::default(), 1, state, Duration::ZERO);
    let append = AppendRequest {
        term: 3,
        prev_index: 150,
        prev_term: 3,
        entries: Vec::new(),
        commit_index: 5,
        sent_at: Duration::ZERO,
    };
    node.receive(millis(10), &id("a"), Message::AppendRequest(append));
    let answers = drain(&mut node);
    let Some(Message::AppendResponse(append_response)) = answers.first() else {
        panic!("{answers:?}")
    };
    assert_eq!((append_response.accepted, append_response.match_index), (false, 10));
}

#[test]
fn an_unanswered_pre_vote_is_repeated_soon() {
    let mut node = voter(3, 3);
    drain(&mut node);
    let mut pre_votes = Vec::new();
    for now in (0..4000).step_by(10) {
        node.tick(millis(now));
        let sent_pre_vote =
            drain(&mut node).iter().any(|m| matches!(m, Message::VoteRequest(p) if p.pre_vote));
        if sent_pre_vote {
            pre_votes.push(now);
        }
    }
    assert!(pre_votes[0] >= 1200, "the previous leader may be alive");
    let longest = pre_votes.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
    assert!(longest <= 600, "the pre-vote is repeated only after {longest} ms");
    assert_eq!(node.term(), 1, "a pre-vote must not change the term");
}

#[test]
fn proposals_of_one_round_go_to_each_voter_in_one_request() {
    let mut node = leader(3);
    let sent_at = millis(5001);
    let response = AppendResponse { term: 2, accepted: true, match_index: 4, sent_at };
    node.receive(millis(5002), &id("c"), Message::AppendResponse(response));
    drain(&mut node);
    for _ in 0..20 {
        node.propose(millis(5003), vec![1]).unwrap();
    }
    let requests: Vec<AppendRequest> = drain(&mut node)
        .into_iter()
        .filter_map(|message| match message {
            Message::AppendRequest(request) => Some(request),
            _ => None,
        })
        .collect();
    let entries: Vec<usize> = requests.iter().map(|request| request.entries.len()).collect();
    assert_eq!(entries, [20, 20], "entries in each request, to two voters");
}

/// Index of the last entry of an append request.
fn last_entry(message: &Message) -> Option<u64> {
    let Message::AppendRequest(append) = message else { return None };
    append.entries.last().map(|entry| entry.index)
}

/// Size of the data in the entries of an append request.
fn data_bytes(message: &Message) -> usize {
    let Message::AppendRequest(append) = message else { return 0 };
    let data = append.entries.iter().map(|entry| match &entry.payload {
        Payload::Data(data) => data.len(),
        _ => 0,
    });
    data.sum()
}

#[test]
fn a_voter_that_does_not_answer_is_not_sent_the_whole_log() {
    const ENTRY_BYTES: usize = 64 << 10;
    const ENTRIES: u64 = 512;
    let mut node = leader(3);
    let accepted = |match_index| {
        let sent_at = millis(5001);
        Message::AppendResponse(AppendResponse { term: 2, accepted: true, match_index, sent_at })
    };
    node.receive(millis(5002), &id("a"), accepted(4));
    node.receive(millis(5002), &id("c"), accepted(4));
    drain(&mut node);
    let mut unanswered = 0;
    let mut match_index = 4;
    for _ in 0..ENTRIES {
        let index = node.propose(millis(5003), vec![0; ENTRY_BYTES]).unwrap();
        for Envelope { to, message } in drain_envelopes(&mut node) {
            if to == id("a") {
                unanswered += data_bytes(&message);
                match_index = last_entry(&message).unwrap_or(match_index);
            }
        }
        node.receive(millis(5003), &id("c"), accepted(index));
        drain(&mut node);
    }
    assert_eq!(node.commit_index(), 4 + ENTRIES, "the majority goes on without it");
    assert!(unanswered <= 6 << 20, "{unanswered} bytes wait for one voter");

    for _ in 0..ENTRIES {
        node.receive(millis(5004), &id("a"), accepted(match_index));
        for Envelope { to, message } in drain_envelopes(&mut node) {
            assert!(data_bytes(&message) <= 1 << 20, "a request of {}", data_bytes(&message));
            if to == id("a") {
                match_index = last_entry(&message).unwrap_or(match_index);
            }
        }
    }
    assert_eq!(match_index, 4 + ENTRIES, "it gets the rest once it answers");
}

#[test]
fn a_leaders_term_rises_by_the_step_and_follows_that_of_the_leader_before() {
    let mut node = voter(3, 1);
    node.set_term_step(100);
    node.tick(millis(5000));
    drain(&mut node);
    for (pre_vote, term) in [(true, 2), (false, 101)] {
        let vote_response = VoteResponse { term, pre_vote, granted: true };
        node.receive(millis(5001), &id("c"), Message::VoteResponse(vote_response));
        drain(&mut node);
    }
    assert!(node.is_leader());
    assert_eq!((node.preceding_term(), node.term()), (1, 101));
}

#[test]
fn a_leader_with_a_lease_knows_the_term_of_each_earlier_leader_with_one() {
    let mut node = voter(3, 1);
    node.set_term_step(100);
    // Nobody was elected in term 30, and the leader of term 40 had no lease before its entry.
    node.receive(millis(2000), &id("c"), vote_request(30, 3, false));
    node.receive(millis(2010), &id("a"), append(40, 3, vec![entry(4, 40)], 4));
    drain(&mut node);
    node.tick(millis(9000));
    drain(&mut node);
    for (pre_vote, term) in [(true, 41), (false, 140)] {
        let vote_response = VoteResponse { term, pre_vote, granted: true };
        node.receive(millis(9001), &id("c"), Message::VoteResponse(vote_response));
        drain(&mut node);
    }
    assert!(node.is_leader());
    assert_eq!((node.preceding_term(), node.term()), (40, 140));
}

fn grant(node: &mut Node, at: u64, term: u64, pre_vote: bool) {
    let vote_response = VoteResponse { term, pre_vote, granted: true };
    node.receive(millis(at), &id("c"), Message::VoteResponse(vote_response));
    drain(node);
}

/// Returns a candidate of term 2 that asks for pre-votes of term 3 already.
fn candidate_that_asks_again() -> Node {
    let mut node = voter(3, 1);
    node.tick(millis(5000));
    drain(&mut node);
    grant(&mut node, 5250, 2, true);
    node.tick(millis(5601));
    assert!(matches!(
        drain(&mut node)[0],
        Message::VoteRequest(VoteRequest { pre_vote: true, .. })
    ));
    node
}

#[test]
fn a_vote_that_arrives_after_the_next_pre_vote_was_sent_counts() {
    let mut node = candidate_that_asks_again();
    grant(&mut node, 5650, 2, false);
    assert!(node.is_leader());
    assert_eq!(node.term(), 2);
}

#[test]
fn a_vote_does_not_count_once_its_term_has_another_leader_or_is_over() {
    let refusal = VoteResponse { term: 7, pre_vote: true, granted: false };
    for message in
        [append(2, 3, Vec::new(), 3), vote_request(7, 3, false), Message::VoteResponse(refusal)]
    {
        let mut node = candidate_that_asks_again();
        node.receive(millis(5650), &id("a"), message);
        drain(&mut node);
        for at in [5660, 9000] {
            grant(&mut node, at, 2, false);
            assert!(!node.is_leader());
        }
    }
}

#[test]
fn a_leader_that_stepped_down_needs_new_votes() {
    let mut node = leader(3);
    node.tick(millis(9000));
    assert!(!node.is_leader(), "no majority has answered");
    for now in 9000..12_000 {
        node.tick(millis(now));
        drain(&mut node);
        assert!(!node.is_leader());
    }
}

/// Runs two of three voters whose leader has just ended, and whose messages take `delay`. Returns
/// the milliseconds from the leader's last message until one of them holds a lease, or none if that
/// takes half a minute.
fn time_to_elect(seed: u64, delay: u64) -> Option<u64> {
    let state = || State {
        hard_state: HardState { term: 1, vote: None },
        entries: (1..=3).map(|index| entry(index, 1)).collect(),
        commit_index: 3,
        ..State::default()
    };
    let mut nodes: Vec<Node> = ["b", "c"]
        .into_iter()
        .zip([2 * seed, 2 * seed + 1])
        .map(|(name, seed)| {
            Node::restore(id(name), true, Timing::default(), seed, state(), Duration::ZERO)
        })
        .collect();
    for node in &mut nodes {
        node.receive(millis(2000), &id("a"), append(1, 3, Vec::new(), 3));
        drain(node);
    }
    let mut in_transit: Vec<(u64, Id, Envelope)> = Vec::new();
    for now in 2000..32_000 {
        let (due, later) = in_transit.into_iter().partition(|(at, ..)| *at <= now);
        in_transit = later;
        let due: Vec<(u64, Id, Envelope)> = due;
        for node in &mut nodes {
            node.tick(millis(now));
            for (_, from, envelope) in &due {
                if envelope.to == *node.id() {
                    node.receive(millis(now), from, envelope.message.clone());
                }
            }
            let from = node.id().clone();
            in_transit.extend(
                drain_envelopes(node).into_iter().map(|sent| (now + delay, from.clone(), sent)),
            );
            if node.has_lease(millis(now)) {
                return Some(now - 2000);
            }
        }
    }
    None
}

#[test]
fn voters_that_answer_slowly_elect_a_leader() {
    for delay in [1, 50, 100, 150, 200, 250] {
        let unelected = (0..50).filter(|seed| time_to_elect(*seed, delay).is_none()).count();
        assert_eq!(unelected, 0, "of 50 elections with messages of {delay} ms");
    }
}
