//! Reads of the configuration that arrive together share one request to the leader, and its reply.
//!
//! A read is answered by a request that was sent after the read arrived, so it is as new as one that
//! asks for itself. A crowd of readers costs the leader, and the link to it, one reply at a time.

use async_std::channel::{Receiver, Sender, bounded};
use mesh::Reply;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Answer to a read of the configuration.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The document in force, byte for byte as the operator sent it.
    Document(Arc<[u8]>),
    /// The leader's reply, which has no document.
    Other(Reply),
}

impl From<Reply> for Answer {
    fn from(reply: Reply) -> Answer {
        match reply {
            Reply::Config(document) => Answer::Document(document.into()),
            reply => Answer::Other(reply),
        }
    }
}

/// Reads in progress. Clones share them.
#[derive(Clone, Default)]
pub struct Reads(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    /// Whether a read asks the leader at present.
    is_asking: bool,
    /// Reads that arrived since it began to ask.
    waiting: Vec<Sender<Notice>>,
}

/// What a read that waits is told.
enum Notice {
    Answer(Answer),
    /// It has to ask for itself and for those that wait.
    Ask(Turn),
}

/// The right to ask; it is passed on when this is dropped.
struct Turn(Reads);

impl Reads {
    /// Answers a read by the reply to `ask`, or by that to another read.
    pub async fn read(&self, ask: impl Future<Output = Reply>) -> Answer {
        let turn = match self.enter() {
            Ok(turn) => turn,
            Err(notice) => match notice.recv().await {
                Ok(Notice::Answer(answer)) => return answer,
                Ok(Notice::Ask(turn)) => turn,
                Err(_) => return Answer::Other(Reply::NotTaken("the read ended".to_string())),
            },
        };
        let readers = std::mem::take(&mut self.state().waiting);
        let answer = Answer::from(ask.await);
        for reader in readers {
            let _ = reader.try_send(Notice::Answer(answer.clone())); // it may have ended
        }
        drop(turn);
        answer
    }

    /// Returns the right to ask or, while another read asks, the channel to wait on.
    fn enter(&self) -> Result<Turn, Receiver<Notice>> {
        let mut state = self.state();
        if std::mem::replace(&mut state.is_asking, true) {
            let (sender, notice) = bounded(1);
            state.waiting.push(sender);
            return Err(notice);
        }
        Ok(Turn(self.clone()))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let next = {
            let mut state = self.0.state();
            state.waiting.retain(|reader| !reader.is_closed());
            state.is_asking = !state.waiting.is_empty();
            if state.is_asking { Some(state.waiting.remove(0)) } else { None }
        };
        if let Some(reader) = next {
            // If the read has just ended, the turn is dropped with the notice and passed on.
            let _ = reader.try_send(Notice::Ask(Turn(self.0.clone())));
        }
    }
}
