//! Replies that were meant for an earlier process arrive at its successor.

use async_std::channel::{Receiver, bounded};
use entry::agreement::{Agreement, Environment, Input, Setup, View};
use entry::relay::Pending;
use fleet::Command;
use fleet::command::Leave;
use quorum::message::AppendRequest;
use quorum::{Id, Index, Membership, Message, Node, Payload};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, SystemTime};
use wire::Frame;
use wire::call::{Outcome, RelayReply, Response};
use wire::frame::{Answer, ProposeReply, RequestId};
use wire::proof::Identity;

/// Keeps the frames that are sent to the leader, its only peer.
#[derive(Default)]
struct Network(Mutex<Vec<Frame>>);

impl Environment for Network {
    fn now(&self) -> Duration {
        Duration::from_secs(1)
    }
    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
    fn send(&self, _to: &Id, frame: Frame) {
        self.0.lock().unwrap().push(frame);
    }
    fn peers(&self) -> Vec<Identity> {
        vec![identity("leader", 1)]
    }
    fn state_changed(&self) {}
    fn record_applied(&self, _entry: &str, _index: Index) {}
    fn publish(&self, _view: View) {}
    fn count(&self, _name: &'static str) {}
}

fn identity(name: &str, process_incarnation: u64) -> Identity {
    Identity {
        cluster: "test".to_string(),
        name: name.to_string(),
        data_centre: "north".to_string(),
        incarnation: 7,
        process_incarnation,
        durable: true,
    }
}

fn leader() -> Id {
    Id::new("leader", 7)
}

/// Starts a process of an entry that follows the leader and has forwarded a command to it. Returns
/// the id of the request and the channel for its answer.
fn forward(process_incarnation: u64) -> (Agreement, RequestId, Receiver<Answer>) {
    let own = identity("entry", process_incarnation);
    let network = Arc::new(Network::default());
    let setup = Setup {
        environment: network.clone(),
        identity: own.clone(),
        founders: Vec::new(),
        fleet: Arc::new(RwLock::default()),
        compact_entries: 100,
    };
    let node = Node::new(Id::new("entry", 7), true, Default::default(), 1);
    let mut agreement = Agreement::new(setup, node, None, &[]);
    let membership =
        Membership { cluster: 1, voters: [leader(), Id::new("entry", 7)].into_iter().collect() };
    let entry = quorum::Entry { index: 1, term: 1, payload: Payload::Voters(membership) };
    let append = AppendRequest {
        term: 1,
        prev_index: 0,
        prev_term: 0,
        entries: vec![entry],
        commit_index: 0,
        sent_at: Duration::from_secs(1),
    };
    agreement.handle(Input::Frame(leader(), Frame::Quorum(Message::AppendRequest(append))));
    let (reply, answer) = bounded(1);
    let leave = Leave { entry: "other".to_string(), incarnation: 1, at: SystemTime::UNIX_EPOCH };
    agreement.handle(Input::Propose(Command::Leave(leave), reply));
    let sent = network.0.lock().unwrap().clone();
    let id = sent.iter().find_map(|frame| match frame {
        Frame::Propose(propose) => Some(propose.id),
        _ => None,
    });
    (agreement, id.expect("the command was forwarded"), answer)
}

#[test]
fn a_reply_to_an_earlier_process_does_not_answer_a_command_that_its_successor_forwards() {
    let (_, earlier, _) = forward(0x9e37_79b9_7f4a_7c15);
    let (mut agreement, _, answer) = forward(0x2545_f491_4f6c_dd1d);
    let reply = ProposeReply { id: earlier, answer: Answer::Applied(None) };
    agreement.handle(Input::Frame(leader(), Frame::ProposeReply(reply)));
    assert!(answer.try_recv().is_err(), "the leader has answered only the earlier process");
}

#[test]
fn a_reply_to_an_earlier_process_does_not_answer_a_request_that_its_successor_relays() {
    let (reply, _) = bounded(1);
    let id = Pending::new(0x9e37_79b9_7f4a_7c15).begin(leader(), reply);
    let pending = Pending::new(0x2545_f491_4f6c_dd1d);
    let (reply, answer) = bounded(1);
    pending.begin(leader(), reply);
    let response =
        Response { status: 200, headers: Vec::new(), body: Vec::new(), instance: "i".to_string() };
    pending.on_reply(RelayReply { id, outcome: Outcome::Answered(response) });
    assert!(answer.try_recv().is_err(), "the peer has answered only the earlier process");
}
