//! Explains where a job runs or would go now, without sending or storing anything.

use super::Core;
use jobs::command::{Command, Submit};
use jobs::{AccountName, Definition, Outcome, QueueName};
use sched::scheduler::Time;
use serde::{Deserialize, Serialize};

pub use sched::scheduler::Placing;

/// Name of a job that is only described. No client can give it, since it is no hexadecimal number.
const DESCRIBED_JOB: &str = "described";

/// Result of a question.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a question has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Error {
    /// Another process leads, if any does.
    #[error("this core does not lead; the leader is {0}")]
    NotLeader(String),
    /// The job is not known, or has ended.
    #[error("job \"{0}\" is not known or has ended")]
    UnknownJob(String),
    /// The queue is not in the configuration in force.
    #[error("queue \"{0}\" does not exist")]
    UnknownQueue(QueueName),
    /// The account is not in the configuration in force.
    #[error("account \"{0}\" does not exist")]
    UnknownAccount(AccountName),
    /// The description of the job is invalid.
    #[error("{0}")]
    Invalid(String),
}

/// The job that a question is about.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// A job that runs or waits, by its name.
    Job(String),
    /// A job that is only described.
    Described(Box<Described>),
}

/// A job that is only described.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Described {
    /// Queue that it would be submitted to.
    pub queue: QueueName,
    /// Account that would submit it; `None` for none.
    #[serde(default)]
    pub account: Option<AccountName>,
    /// The job as a client would describe it.
    pub job: Definition,
}

impl Core {
    /// Answers a question by the decision code of the leader, on a copy of the ledger where the job
    /// is only described.
    pub(super) fn explain_place(&self, time: Time, question: Question) -> Result<Placing> {
        let Some(leadership) = &self.leadership else {
            let leader = self.leader_name().unwrap_or_else(|| "not known".to_string());
            return Err(Error::NotLeader(leader));
        };
        let scheduler = &leadership.scheduler;
        match question {
            Question::Job(id) => {
                let number = self.ledger.job_number(&id);
                let placing =
                    number.and_then(|number| scheduler.explain_place(time, &self.ledger, number));
                placing.ok_or(Error::UnknownJob(id))
            }
            Question::Described(described) => {
                let Described { queue, account, job } = *described;
                if let Some(error) = job.field_error() {
                    return Err(Error::Invalid(format!("job.{error}")));
                }
                let is_unknown = |name: &AccountName| self.ledger.account(name).is_none();
                if let Some(name) = account.as_ref().filter(|name| is_unknown(name)) {
                    return Err(Error::UnknownAccount(name.clone()));
                }
                let mut ledger = self.ledger.clone();
                let submit = Submit {
                    queue: queue.clone(),
                    place: None,
                    id: DESCRIBED_JOB.to_string(),
                    definition: job,
                    owner: account,
                    at: time.wall,
                };
                let outcome = ledger.apply(Command::Submit(submit)).0;
                let number = ledger.job_number(DESCRIBED_JOB);
                match (outcome, number) {
                    (Outcome::Accepted, Some(number)) => scheduler
                        .explain_place(time, &ledger, number)
                        .ok_or(Error::UnknownJob(DESCRIBED_JOB.to_string())),
                    _ => Err(Error::UnknownQueue(queue)),
                }
            }
        }
    }
}
