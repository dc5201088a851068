//! Requests of clients and operators. The leader answers them; other processes forward
//! them to the leader.

use super::{Core, ForwardedRequest, PendingProposal, ReplyTo};
use jobs::account::Access;
use jobs::command::{Cancel, Command, Submit};
use jobs::config::Place;
use jobs::tombstone::MAX_TOMBSTONES;
use jobs::{AccountName, Definition, Outcome, Queue, QueueName, UnixMs, Wave};
use log::{debug, info};
use mesh::request::Location;
use mesh::{Frame, LeaderRequest, Reply};
use sched::admission::Decision;
use sched::scheduler::Time;
use std::time::Duration;

/// Hexadecimal digits of a job id, which clients choose at random.
const JOB_ID_DIGITS: usize = 16;

/// A client's request for a job, by the configuration in force.
struct Call {
    queue: QueueName,
    place: Option<Place>,
    id: String,
    /// Account that the request counts for; `None` for a public queue or without accounts.
    owner: Option<AccountName>,
}

/// Returns the reply to the submission of a job whose name another account has used.
fn name_is_taken() -> Reply {
    Reply::Invalid("the job's name is taken by another account".to_string())
}

/// Returns the reply to the cancellation of an unknown job that can't be recorded before `until`.
fn no_room_to_cancel(time: Time, until: UnixMs) -> Reply {
    metrics::counter!("cancellations_refused_total").increment(1);
    let reason = format!("no such job, and {MAX_TOMBSTONES} others were cancelled ahead of theirs");
    let retry_after = Duration::from_millis(until.saturating_sub(time.wall));
    Reply::Overloaded { reason, retry_after }
}

impl Core {
    /// Answers a request if this process leads with a valid lease. Requests for what is
    /// already in force are answered without a new log entry.
    pub(super) fn on_request(&mut self, time: Time, request: LeaderRequest, reply: ReplyTo) {
        if self.leadership.is_none() {
            self.forward(time, request, reply);
            return;
        }
        if !self.node.has_lease(time.monotonic) {
            self.reply(reply, Reply::NotTaken("the leader's lease is over".to_string()));
            return;
        }
        match request {
            LeaderRequest::Submit { location, definition } => match self.call(&location) {
                Ok(call) => self.submit(time, call, *definition, reply),
                Err(refusal) => self.reply(reply, refusal),
            },
            LeaderRequest::Cancel(location) => match self.call(&location) {
                Ok(call) => self.cancel(time, call, reply),
                Err(refusal) => self.reply(reply, refusal),
            },
            LeaderRequest::State(location) => {
                let answer = self.state(&location).unwrap_or_else(|refusal| refusal);
                self.reply(reply, answer);
            }
            LeaderRequest::Configure(config) => {
                if let Err(error) = config.check() {
                    info!("config.refused version={} reason={error:?}", config.version);
                    self.reply(reply, Reply::Invalid(error.to_string()));
                    return;
                }
                let current = self.ledger.config().map(|current| current.version);
                if current.is_some_and(|current| current >= config.version) {
                    info!("config.overtaken version={} held={current:?}", config.version);
                    self.reply(reply, Reply::Done);
                    return;
                }
                info!("config.proposed version={}", config.version);
                self.propose(time, Command::Configure(config), reply);
            }
            LeaderRequest::Config => {
                let answer = match self.ledger.config() {
                    Some(config) => Reply::Config(config.document.clone()),
                    None => Reply::NotTaken("no configuration is in force".to_string()),
                };
                self.reply(reply, answer);
            }
            LeaderRequest::StartWave { id, instances, duration, max_unavailable } => {
                if self.ledger.waves().contains_key(&id) {
                    self.reply(reply, Reply::Done);
                    return;
                }
                info!("wave.proposed wave={id} machines={} cap={max_unavailable}", instances.len());
                let wave = Wave::new(id, instances, duration, max_unavailable.max(1), time.wall);
                self.propose(time, Command::StartWave(wave), reply);
            }
            LeaderRequest::Wave(id) => {
                let answer = match self.ledger.waves().get(&id) {
                    Some(wave) => Reply::Wave { completed: wave.is_completed() },
                    None => Reply::Missing,
                };
                self.reply(reply, answer);
            }
        }
    }

    /// Cancels a job. That no such job is known is answered only once it is in the log: a submission
    /// that is not applied yet, or still under way to a leader, is bound by it.
    fn cancel(&mut self, time: Time, call: Call, reply: ReplyTo) {
        let Call { queue, place, id, owner } = call;
        let job = self.ledger.find_job(&queue, &id);
        let (queue, place) = match job.filter(|job| job.is_open_to(owner.as_ref())) {
            Some(job) if job.state.is_final() => {
                self.reply(reply, Reply::Done);
                return;
            }
            Some(job) => (job.queue.clone(), job.place.clone()),
            None => {
                let is_recorded = self.is_cancelled_ahead(&place, &id, &owner);
                let full_until = self.ledger.no_room_to_cancel_until(time.wall);
                if let Some(until) = full_until.filter(|_| !is_recorded) {
                    self.reply(reply, no_room_to_cancel(time, until));
                    return;
                }
                (queue, place)
            }
        };
        let cancel = Cancel { queue, place, id, owner, at: time.wall };
        self.propose(time, Command::Cancel(cancel), reply);
    }

    /// Returns whether a job was cancelled before it was known.
    fn is_cancelled_ahead(
        &self,
        place: &Option<Place>,
        id: &str,
        owner: &Option<AccountName>,
    ) -> bool {
        let tombstones = self.ledger.tombstones();
        place.as_ref().is_some_and(|place| tombstones.covers(place, id, owner.as_ref()))
    }

    /// Accepts a job, or answers for one that is known already.
    fn submit(&mut self, time: Time, call: Call, definition: Definition, reply: ReplyTo) {
        let Call { queue, place, id, owner } = call;
        if let Some(job) = self.ledger.find_job(&queue, &id) {
            let is_open = job.is_open_to(owner.as_ref());
            self.reply(reply, if is_open { Reply::Done } else { name_is_taken() });
            return;
        }
        // One that was cancelled already needs no room.
        let is_cancelled = self.is_cancelled_ahead(&place, &id, &owner);
        let scheduler = self.leadership.as_mut().map(|leadership| &mut leadership.scheduler);
        let decision = scheduler.filter(|_| !is_cancelled).map(|scheduler| {
            scheduler.admit(time, &self.ledger, &queue, &definition, owner.as_ref())
        });
        if let Some(Decision::Refuse(retry_after)) = decision {
            metrics::counter!("jobs_refused_total", "queue" => queue.clone()).increment(1);
            info!(
                "job.refused id={id} queue={queue} account={} retry_after_ms={}",
                owner.as_deref().unwrap_or("none"),
                retry_after.as_millis()
            );
            let reason = "the job can't be done within three times its objective".to_string();
            self.reply(reply, Reply::Overloaded { reason, retry_after });
            return;
        }
        let submit = Submit { queue, place, id, definition, owner, at: time.wall };
        self.propose(time, Command::Submit(submit), reply);
    }

    /// Returns what a client's request asks for and whom it counts for, or the reply that refuses
    /// it.
    fn call(&self, location: &Location) -> Result<Call, Reply> {
        let (queue, id) = self.route(location)?;
        let owner = self.owner(queue, location)?;
        let is_job_id = id.len() == JOB_ID_DIGITS && id.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_job_id {
            return Err(Reply::Invalid(format!("path: \"{id}\" is no name of a job")));
        }
        let config = self.ledger.config();
        let place = config.and_then(|config| config.queues.get(queue)).map(Queue::place);
        Ok(Call { queue: queue.clone(), place, id: id.to_string(), owner })
    }

    /// Returns the queue that a location names and the rest of the path.
    fn route<'a>(&'a self, location: &'a Location) -> Result<(&'a QueueName, &'a str), Reply> {
        let Some(config) = self.ledger.config() else {
            return Err(Reply::NotTaken("no configuration is in force".to_string()));
        };
        // No job's name has a slash: with one, the path is below a longer prefix that no queue has.
        let found = config.route(&location.host, &location.path);
        found.filter(|(_, rest)| !rest.contains('/')).ok_or(Reply::NoQueue)
    }

    /// Returns the account that a request counts for by the configuration in force; `None` for a
    /// public queue or without accounts.
    fn owner(&self, queue: &QueueName, location: &Location) -> Result<Option<AccountName>, Reply> {
        let config = self.ledger.config();
        match config.map(|config| config.access(queue, location.key.as_ref())) {
            Some(Access::Owner(owner)) => Ok(Some(owner)),
            Some(Access::Open) | None => Ok(None),
            Some(Access::Denied(denial)) => {
                metrics::counter!("requests_denied_total", "reason" => denial.label()).increment(1);
                Err(Reply::Unauthorized(denial.to_string()))
            }
        }
    }

    /// State of the job at a location, or the number of pending jobs if it names a queue.
    fn state(&self, location: &Location) -> Result<Reply, Reply> {
        let (queue, id) = self.route(location)?;
        if id.is_empty() {
            // The number concerns no job, so it needs no key; a wrong one is refused all the same.
            if location.key.is_some() {
                self.owner(queue, location)?;
            }
            return Ok(Reply::Pending(self.pending_count(queue) as u64));
        }
        let owner = self.owner(queue, location)?;
        let job = self.ledger.find_job(queue, id).filter(|job| job.is_open_to(owner.as_ref()));
        Ok(job.map_or(Reply::Missing, |job| Reply::State(job.state)))
    }

    /// Returns the number of jobs of a queue that no worker is known to have begun.
    fn pending_count(&self, queue: &QueueName) -> usize {
        let Some(leadership) = &self.leadership else { return 0 };
        let counted = |name: &QueueName| leadership.scheduler.pending_count(name);
        let former_names = self.ledger.former_names();
        if former_names.is_empty() {
            return counted(queue);
        }
        // The scheduler counts by the names at acceptance, which several queues may have had.
        let former = former_names.get(queue).into_iter().flatten().map(counted).sum::<usize>();
        let jobs = self.ledger.unfinished_jobs(queue).filter(|job| !job.has_ended_run());
        (counted(queue) + former).min(jobs.count())
    }

    /// Proposes a command to the log. The reply follows once it is applied.
    fn propose(&mut self, time: Time, command: Command, reply: ReplyTo) {
        match self.node.propose(time.monotonic, super::effects::encode(&command)) {
            Ok(index) => {
                self.pending_proposals
                    .insert(index, PendingProposal { term: self.node.term(), reply });
            }
            Err(error) => self.reply(reply, Reply::NotTaken(error.to_string())),
        }
    }

    /// Forwards a request to the leader. A request that another core has forwarded is
    /// refused instead.
    fn forward(&mut self, time: Time, request: LeaderRequest, reply: ReplyTo) {
        let already_forwarded = matches!(reply, ReplyTo::Remote { core: true, .. });
        let Some(leader) = self.leader_name().filter(|_| !already_forwarded) else {
            self.reply(reply, Reply::NotTaken("no leader is known here".to_string()));
            return;
        };
        let id = self.next_request;
        let is_write = request.is_write();
        if !self.environment.send(&leader, Frame::Request(id, request)) {
            let reason = format!("no link to the leader {leader}");
            self.reply(reply, Reply::NotTaken(reason));
            return;
        }
        self.next_request += 1;
        let forwarded = ForwardedRequest { leader, forwarded_at: time.monotonic, reply, is_write };
        self.forwarded.insert(id, forwarded);
    }

    /// Answers forwarded requests whose reply can't be expected any more. A write may have
    /// been applied, so its outcome is unknown; a read was not answered.
    pub(super) fn fail_forwarded(&mut self, is_lost: impl Fn(&ForwardedRequest) -> bool) {
        let ids: Vec<_> =
            self.forwarded.iter().filter(|(_, f)| is_lost(f)).map(|(id, _)| *id).collect();
        for id in ids {
            let Some(forwarded) = self.forwarded.remove(&id) else { continue };
            let reason = format!("no reply from the leader {}", forwarded.leader);
            let reply =
                if forwarded.is_write { Reply::Unknown(reason) } else { Reply::NotTaken(reason) };
            self.reply(forwarded.reply, reply);
        }
    }

    /// Answers the request whose command was proposed at an index that is now applied.
    pub(super) fn complete_proposal(
        &mut self,
        pending: PendingProposal,
        term: quorum::Term,
        outcome: Outcome,
    ) {
        let reply = if pending.term != term {
            // Another leader's entry was committed at this index instead.
            Reply::NotTaken("another leader's change took its place".to_string())
        } else {
            match outcome {
                Outcome::Done | Outcome::Accepted => Reply::Done,
                Outcome::OtherQueue => {
                    Reply::Invalid("the job is in another queue already".to_string())
                }
                Outcome::OtherAccount => name_is_taken(),
                Outcome::Missing => Reply::NoQueue,
                Outcome::CancelledAhead => {
                    metrics::counter!("jobs_cancelled_ahead_total").increment(1);
                    Reply::Missing
                }
                Outcome::NoRoom(until) => no_room_to_cancel(self.time(), until),
            }
        };
        self.reply(pending.reply, reply);
    }

    /// Answers the proposals of a lost term as unknown: the next leader may still commit
    /// them.
    pub(super) fn abandon_pending_proposals(&mut self) {
        let (is_leader, term) = (self.node.is_leader(), self.node.term());
        let lost: Vec<_> = self
            .pending_proposals
            .iter()
            .filter(|(_, pending)| !is_leader || pending.term != term)
            .map(|(index, _)| *index)
            .collect();
        for index in lost {
            if let Some(pending) = self.pending_proposals.remove(&index) {
                let reason = "the leader lost its lead before the change was in force";
                self.reply(pending.reply, Reply::Unknown(reason.to_string()));
            }
        }
    }

    /// Sends a reply to a task of this process or to another process.
    pub(super) fn reply(&self, to: ReplyTo, reply: Reply) {
        debug!("reply to={to:?} reply={reply:?}");
        match to {
            ReplyTo::Local(sender) => {
                let _ = sender.try_send(reply); // the caller may have given up
            }
            ReplyTo::Remote { to, id, .. } => {
                self.environment.send_to(&to, Frame::Reply(id, reply));
            }
        }
    }
}
