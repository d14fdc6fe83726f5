//! Parts of limits lent between instances.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Ppm;

/// How long a loan lasts for the borrower, from when it asked.
const TERM: Duration = Duration::from_secs(6);
/// How much longer the lender waits, for clocks of different speed.
const DRIFT: Duration = Duration::from_millis(500);
/// A part of what is in use that is kept in reserve: one in this many.
const HEADROOM: u32 = 4;
/// A part of what is owned that is never lent: one in this many. An instance
/// that has lent everything cannot start even one request until a loan is back.
const NEVER_LENT: u32 = 14;
/// How fast a peak of demand is forgotten: by half in this time.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(1);
/// How many waiting requests count as demand when little is in use.
const LEAST_GROWTH: u32 = 4;

/// What a borrower says of one limit to one lender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanAsk {
    /// The limit.
    pub limit: CompactString,
    /// What it has from this lender and still wants to keep.
    pub held: Ppm,
    /// What it would like in addition.
    pub wanted: Ppm,
}

/// What a lender lends of one limit from now on, the earlier loan included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanGrant {
    /// The limit.
    pub limit: CompactString,
    /// The part.
    pub part: Ppm,
    /// How long, from when the borrower asked.
    pub term: Duration,
}

/// The use of one limit on this instance, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitUse {
    /// The limit's name.
    pub name: CompactString,
    /// The limit over all instances.
    pub limit: u32,
    /// Requests here.
    pub in_use: u32,
    /// Requests that wait here.
    pub queued: u32,
    /// What this instance may have in use now.
    pub usable: u32,
    /// The part lent to others.
    pub lent: Ppm,
    /// The part borrowed from others.
    pub borrowed: Ppm,
}

#[derive(Debug, Clone, Copy)]
struct Loan {
    part: Ppm,
    until: MonoTime,
}

#[derive(Debug, Default)]
struct Limit {
    limit: u32,
    in_use: u32,
    queued: u32,
    peak: f64,
    peak_at: MonoTime,
    lent: BTreeMap<Incarnation, Loan>,
    borrowed: BTreeMap<Incarnation, Loan>,
}

impl Limit {
    /// What is in use, and as much again of what waits. A long queue is no
    /// reason to take everything from everybody at once; demand that lasts
    /// doubles with each heartbeat.
    fn demand(&self) -> u32 {
        self.in_use + self.queued.min(self.in_use.max(LEAST_GROWTH))
    }

    /// Demand over the last moments. What is in use falls to nothing between
    /// two requests; lent on that word, the next request finds nothing here.
    fn recent_demand(&mut self, now: MonoTime) -> u32 {
        let halves = now.since(self.peak_at).as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64();
        self.peak = (self.peak * 0.5_f64.powf(halves)).max(f64::from(self.demand()));
        self.peak_at = now;
        self.peak.round() as u32
    }

    /// What is not lent.
    fn kept(&mut self, now: MonoTime, base: Ppm) -> Ppm {
        let demand = self.recent_demand(now);
        let own = Ppm::needed_for(demand + demand / HEADROOM, self.limit);
        own.max(Ppm::new(base.get() / NEVER_LENT))
    }

    fn lent(&self) -> Ppm {
        self.lent
            .values()
            .fold(Ppm::ZERO, |sum, l| sum.plus(l.part))
    }

    fn borrowed_until(&self, until: MonoTime) -> Ppm {
        let lasting = self.borrowed.values().filter(|l| l.until >= until);
        lasting.fold(Ppm::ZERO, |sum, l| sum.plus(l.part))
    }

    fn usable(&self, base: Ppm, until: MonoTime) -> u32 {
        base.minus(self.lent())
            .plus(self.borrowed_until(until))
            .of(self.limit)
    }

    /// What this instance needs for what it has and what waits.
    fn needed(&self) -> Ppm {
        Ppm::needed_for(self.demand(), self.limit)
    }

    fn drop_expired(&mut self, now: MonoTime) {
        self.lent.retain(|_, l| l.until > now);
        self.borrowed.retain(|_, l| l.until > now);
    }
}

/// Who has borrowed what from whom.
///
/// Guards against two failures of a limit that is divided evenly: a lone busy
/// instance is refused while the parts of idle ones lie unused; and moving
/// parts about can let one count twice. A lender takes a loan off its own part
/// before it says so; a borrower counts a loan only from the answer to its
/// latest question and from the moment it asked, and starts a request on it
/// only if the loan outlasts the request's deadline. So a loan is back in use
/// with the lender only when nothing runs on it any more, whatever messages
/// were lost, doubled or late, and nobody has to be told that a borrower died.
///
/// # Examples
///
/// ```
/// use jd_coord::LoanBook;
/// use jd_types::MonoTime;
/// use jd_types::Ppm;
///
/// let mut book = LoanBook::default();
/// book.set_limit("customer/ranges", 10);
/// let (now, half) = (MonoTime::ZERO, Ppm::new(500_000));
/// let taken = (0..10).filter(|_| book.take(now, half, "customer/ranges", now)).count();
/// assert_eq!(taken, 5);
/// ```
#[derive(Debug, Default)]
pub struct LoanBook {
    limits: BTreeMap<CompactString, Limit>,
    heard: BTreeMap<Incarnation, u64>,
}

impl LoanBook {
    /// Sets a limit that is shared by all instances.
    pub fn set_limit(&mut self, name: &str, limit: u32) {
        self.limits
            .entry(CompactString::from(name))
            .or_default()
            .limit = limit;
    }

    /// Forgets limits for which `keep` is false and nothing is in use.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.limits.retain(|name, l| keep(name) || l.in_use > 0);
    }

    /// Takes one unit of a limit for a request that ends by `deadline`.
    pub fn take(&mut self, now: MonoTime, base: Ppm, name: &str, deadline: MonoTime) -> bool {
        match self.limits.get_mut(name) {
            Some(l) => {
                l.drop_expired(now);
                let fits = l.in_use < l.usable(base, deadline);
                l.in_use += u32::from(fits);
                fits
            }
            None => false,
        }
    }

    /// Gives one unit back.
    pub fn give_back(&mut self, name: &str) {
        if let Some(l) = self.limits.get_mut(name) {
            l.in_use = l.in_use.saturating_sub(1);
        }
    }

    /// A request begins to wait for the limit here.
    pub fn wait_began(&mut self, name: &str) {
        if let Some(l) = self.limits.get_mut(name) {
            l.queued += 1;
        }
    }

    /// A request waits for the limit no longer.
    pub fn wait_ended(&mut self, name: &str) {
        if let Some(l) = self.limits.get_mut(name) {
            l.queued = l.queued.saturating_sub(1);
        }
    }

    /// States how many requests wait, for limits that somebody else counts.
    pub fn set_queued(&mut self, name: &str, queued: u32) {
        if let Some(l) = self.limits.get_mut(name) {
            l.queued = queued;
        }
    }

    /// States how many units are in use, for limits that somebody else counts.
    pub fn set_in_use(&mut self, name: &str, in_use: u32) {
        if let Some(l) = self.limits.get_mut(name) {
            l.in_use = in_use;
        }
    }

    /// How many units may be in use now by requests that end by `deadline`.
    pub fn usable(&mut self, now: MonoTime, base: Ppm, name: &str, deadline: MonoTime) -> u32 {
        self.limits.get_mut(name).map_or(0, |l| {
            l.drop_expired(now);
            l.usable(base, deadline)
        })
    }

    /// The largest part that no limit here uses, lends or has borrowed against.
    pub fn idle(&mut self, now: MonoTime, base: Ppm) -> Ppm {
        let idle = |l: &mut Limit| {
            l.drop_expired(now);
            base.minus(l.lent()).minus(l.needed())
        };
        self.limits.values_mut().map(idle).min().unwrap_or(base)
    }

    /// What to say to one of `peers` possible lenders.
    pub fn asks(
        &mut self,
        now: MonoTime,
        base: Ppm,
        peer: Incarnation,
        peers: u32,
    ) -> Vec<LoanAsk> {
        let mut asks = Vec::new();
        for (name, l) in &mut self.limits {
            l.drop_expired(now);
            let ask = ask_for(name, l, base, peer, peers);
            if ask.held > Ppm::ZERO || ask.wanted > Ppm::ZERO || l.borrowed.contains_key(&peer) {
                l.shrink(peer, ask.held);
                asks.push(ask);
            }
        }
        asks
    }

    /// Answers a borrower. `sequence` grows with each of its questions.
    pub fn serve(
        &mut self,
        now: MonoTime,
        base: Ppm,
        borrower: Incarnation,
        sequence: u64,
        asks: &[LoanAsk],
    ) -> Vec<LoanGrant> {
        let last = self.heard.entry(borrower).or_insert(0);
        if sequence <= *last {
            // A late copy: what it says is held may have been given back since.
            return Vec::new();
        }
        *last = sequence;
        asks.iter()
            .filter_map(|ask| self.serve_one(now, base, borrower, ask))
            .collect()
    }

    /// Takes in the answer to the latest question to `lender`, sent at `asked`.
    pub fn granted(&mut self, asked: MonoTime, lender: Incarnation, grants: &[LoanGrant]) {
        for grant in grants {
            if let Some(l) = self.limits.get_mut(&grant.limit) {
                let until = asked + grant.term;
                l.borrowed.insert(
                    lender,
                    Loan {
                        part: grant.part,
                        until,
                    },
                );
            }
        }
    }

    /// Forgets the counter of a member that is gone. Its loans run out by themselves.
    pub fn forget(&mut self, member: Incarnation) {
        self.heard.remove(&member);
    }

    /// The use of every limit.
    pub fn uses(&mut self, now: MonoTime, base: Ppm) -> Vec<LimitUse> {
        let mut uses = Vec::new();
        for (name, l) in &mut self.limits {
            l.drop_expired(now);
            uses.push(LimitUse {
                name: name.clone(),
                limit: l.limit,
                in_use: l.in_use,
                queued: l.queued,
                usable: l.usable(base, now),
                lent: l.lent(),
                borrowed: l.borrowed_until(now),
            });
        }
        uses
    }

    fn serve_one(
        &mut self,
        now: MonoTime,
        base: Ppm,
        borrower: Incarnation,
        ask: &LoanAsk,
    ) -> Option<LoanGrant> {
        let l = self.limits.get_mut(&ask.limit)?;
        l.drop_expired(now);
        l.lent
            .entry(borrower)
            .and_modify(|loan| loan.part = loan.part.min(ask.held));
        let held = l.lent.get(&borrower).map_or(Ppm::ZERO, |loan| loan.part);
        let short = l.needed() > base.minus(l.lent());
        let kept = l.kept(now, base);
        let spare = base.minus(l.lent()).minus(kept);
        let part = held.plus(ask.wanted.min(spare));
        match part {
            Ppm::ZERO => {
                l.lent.remove(&borrower);
                None
            }
            // Needed here: the loan is not renewed and comes back with its term.
            _ if short => None,
            _ => {
                l.lent.insert(
                    borrower,
                    Loan {
                        part,
                        until: now + TERM + DRIFT,
                    },
                );
                Some(LoanGrant {
                    limit: ask.limit.clone(),
                    part,
                    term: TERM,
                })
            }
        }
    }
}

impl Limit {
    /// Given up here before the lender is told.
    fn shrink(&mut self, lender: Incarnation, to: Ppm) {
        if let Some(loan) = self.borrowed.get_mut(&lender) {
            loan.part = loan.part.min(to);
        }
        self.borrowed.retain(|_, l| l.part > Ppm::ZERO);
    }
}

fn ask_for(name: &CompactString, l: &Limit, base: Ppm, peer: Incarnation, peers: u32) -> LoanAsk {
    let goal = match l.demand() {
        0 => Ppm::ZERO,
        n => Ppm::needed_for(n + (n / HEADROOM).max(1), l.limit),
    };
    let own = base.minus(l.lent());
    let borrowed = l
        .borrowed
        .values()
        .fold(Ppm::ZERO, |sum, x| sum.plus(x.part));
    let missing = goal.minus(own.plus(borrowed));
    let surplus = own.plus(borrowed).minus(goal);
    let here = l.borrowed.get(&peer).map_or(Ppm::ZERO, |x| x.part);
    LoanAsk {
        limit: name.clone(),
        held: here.minus(surplus),
        wanted: Ppm::new(missing.get().div_ceil(peers.max(1))),
    }
}
