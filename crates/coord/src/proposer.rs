//! Bringing one change into force.

use std::time::Duration;

use compact_str::CompactString;
use jd_backing::Expect;
use jd_backing::KvEntry;
use jd_backing::KvError;
use jd_backing::KvKey;
use jd_backing::KvReply;
use jd_backing::KvRequest;
use jd_types::Change;
use jd_types::ChangeError;
use jd_types::ChangeId;
use jd_types::ChangeRecord;
use jd_types::Config;
use jd_types::WallTime;

/// Calls that are made for one change before its fate is reported as unknown.
const MAX_CALLS: u32 = 24;
/// Pause before a call is repeated.
const PAUSE: Duration = Duration::from_millis(100);

/// What an operator wants.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// The change's identity, drawn at random.
    pub id: ChangeId,
    /// Who wants it.
    pub who: CompactString,
    /// When, by the wall clock here.
    pub when: WallTime,
    /// Why; may be empty.
    pub why: CompactString,
    /// What.
    pub change: Change,
}

/// What to do next for a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalStep {
    /// Make this call and report its result.
    Call(KvRequest),
    /// Wait that long, then call [`Proposer::again`].
    Pause(Duration),
    /// It is decided.
    End(ProposalEnd),
}

/// How a proposal ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalEnd {
    /// It is in the log, and so in force.
    InForce(ChangeRecord),
    /// It does not fit the configuration.
    Invalid(ChangeError),
    /// Another operator's change of the same object came first.
    LostTo(ChangeRecord),
    /// The platform's service is down; the change did not take effect.
    NotTaken,
    /// Nobody can say now whether it took effect. The log will show it under
    /// this identity, or never.
    Unknown(ChangeId),
    /// The log holds something that is not a change record.
    Corrupt(KvKey),
}

/// Brings one change into the log by compare-and-swap.
///
/// Two failures shape it. Operators race: the loser finds another record at its
/// place, takes it in, and goes on at the next place only if that record is
/// about another object; otherwise its operator decided without knowing of the
/// winner's change and is told so. And answers get lost after the write: the
/// same record is then offered again at the same place. Either it is written
/// now, or the place is taken; whose identity stands there tells which. A place
/// once taken stays taken, so a delayed copy of the write can do no harm.
#[derive(Debug)]
pub struct Proposer {
    proposal: Proposal,
    config: Config,
    record: Option<ChangeRecord>,
    in_doubt: bool,
    calls: u32,
}

impl Proposer {
    /// Starts from the configuration that the operator saw.
    pub fn new(proposal: Proposal, config: Config) -> Proposer {
        Proposer {
            proposal,
            config,
            record: None,
            in_doubt: false,
            calls: 0,
        }
    }

    /// The first step.
    pub fn start(&mut self) -> ProposalStep {
        self.offer()
    }

    /// The pause is over.
    pub fn again(&mut self) -> ProposalStep {
        match &self.record {
            Some(record) => ProposalStep::Call(put(record)),
            None => self.offer(),
        }
    }

    /// The result of the last call.
    pub fn on_reply(&mut self, reply: Result<KvReply, KvError>) -> ProposalStep {
        self.calls += 1;
        match reply {
            Ok(KvReply::Written { .. }) => self.won(),
            Ok(KvReply::Conflict {
                current: Some(entry),
            }) => self.occupied(&entry),
            Err(KvError::Lost) => {
                self.in_doubt = true;
                self.pause()
            }
            Err(KvError::Unavailable) if !self.in_doubt => end(ProposalEnd::NotTaken),
            // Any other reply is no answer to this call; ask again.
            Ok(_) | Err(KvError::Unavailable) => self.pause(),
        }
    }

    fn offer(&mut self) -> ProposalStep {
        let mut next = self.config.clone();
        if let Err(e) = next.apply(&self.proposal.change) {
            return end(ProposalEnd::Invalid(e));
        }
        let object = self.proposal.change.object();
        let record = ChangeRecord {
            revision: next.revision,
            id: self.proposal.id,
            who: self.proposal.who.clone(),
            when: self.proposal.when,
            why: self.proposal.why.clone(),
            change: self.proposal.change.clone(),
            from: self.config.show(&object),
            to: next.show(&object),
        };
        let call = put(&record);
        self.record = Some(record);
        ProposalStep::Call(call)
    }

    fn won(&mut self) -> ProposalStep {
        match self.record.take() {
            Some(record) => end(ProposalEnd::InForce(record)),
            None => self.unknown(),
        }
    }

    fn occupied(&mut self, entry: &KvEntry) -> ProposalStep {
        let other: ChangeRecord = match serde_json::from_str(&entry.value) {
            Ok(record) => record,
            Err(_) => return end(ProposalEnd::Corrupt(entry.key.clone())),
        };
        if other.id == self.proposal.id {
            return end(ProposalEnd::InForce(other));
        }
        // The place is taken by another, so no copy of ours can take effect.
        self.in_doubt = false;
        self.config.apply_record(&other);
        match other.change.object() == self.proposal.change.object() {
            true => end(ProposalEnd::LostTo(other)),
            false if self.calls >= MAX_CALLS => end(ProposalEnd::NotTaken),
            false => self.offer(),
        }
    }

    fn pause(&mut self) -> ProposalStep {
        match self.calls >= MAX_CALLS {
            true => self.unknown(),
            false => ProposalStep::Pause(PAUSE),
        }
    }

    fn unknown(&self) -> ProposalStep {
        match self.in_doubt {
            true => end(ProposalEnd::Unknown(self.proposal.id)),
            false => end(ProposalEnd::NotTaken),
        }
    }
}

fn put(record: &ChangeRecord) -> KvRequest {
    // A change record is plain data; it always has a JSON form.
    let value = serde_json::to_string(record).unwrap_or_default();
    KvRequest::Put {
        key: KvKey::log(record.revision),
        value,
        expect: Expect::Absent,
        lease: None,
    }
}

fn end(end: ProposalEnd) -> ProposalStep {
    ProposalStep::End(end)
}
