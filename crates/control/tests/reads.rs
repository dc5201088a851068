//! Reads of the configuration that arrive together.

use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use control::reads::{Answer, Reads};
use mesh::Reply;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A leader that replies with the number of its request, once it is told to.
struct Leader {
    asked: Arc<AtomicUsize>,
    reply: (Sender<()>, Receiver<()>),
}

impl Leader {
    fn new() -> Leader {
        Leader { asked: Arc::default(), reply: bounded(100) }
    }

    fn read(&self, reads: &Reads) -> task::JoinHandle<Answer> {
        let (reads, asked, reply) = (reads.clone(), self.asked.clone(), self.reply.1.clone());
        task::spawn(async move {
            let ask = async {
                let number = asked.fetch_add(1, Ordering::AcqRel) + 1;
                reply.recv().await.unwrap();
                Reply::Config(number.to_string().into_bytes())
            };
            reads.read(ask).await
        })
    }

    async fn wait_until_asked(&self, times: usize) {
        while self.asked.load(Ordering::Acquire) < times {
            task::sleep(Duration::from_millis(1)).await;
        }
    }
}

fn number(answer: Answer) -> usize {
    match answer {
        Answer::Document(document) => String::from_utf8_lossy(&document).parse().unwrap(),
        Answer::Other(reply) => panic!("{reply:?}"),
    }
}

/// Guards against a request to the leader for each of many reads, and against a read that is answered
/// by a request from before it arrived.
#[test]
fn reads_that_wait_share_the_next_request() {
    task::block_on(async {
        let (leader, reads) = (Leader::new(), Reads::default());
        let first = leader.read(&reads);
        leader.wait_until_asked(1).await;
        let later: Vec<_> = (0..50).map(|_| leader.read(&reads)).collect();
        task::sleep(Duration::from_millis(50)).await; // they all wait
        leader.reply.0.send(()).await.unwrap();
        assert_eq!(number(first.await), 1);
        leader.wait_until_asked(2).await;
        leader.reply.0.send(()).await.unwrap();
        for read in later {
            assert_eq!(number(read.await), 2);
        }
        assert_eq!(leader.asked.load(Ordering::Acquire), 2);
    });
}

/// Guards against reads that wait for one that has ended.
#[test]
fn a_read_that_ends_passes_on_its_turn() {
    task::block_on(async {
        let (leader, reads) = (Leader::new(), Reads::default());
        let first = leader.read(&reads);
        leader.wait_until_asked(1).await;
        let later: Vec<_> = (0..3).map(|_| leader.read(&reads)).collect();
        task::sleep(Duration::from_millis(50)).await;
        first.cancel().await;
        leader.wait_until_asked(2).await;
        leader.reply.0.send(()).await.unwrap();
        for read in later {
            assert_eq!(number(read.await), 2);
        }
    });
}
