//! This instance's own part of every limit.

use std::collections::BTreeMap;
use std::time::Duration;

use jd_backing::Expect;
use jd_backing::KvError;
use jd_backing::KvKey;
use jd_backing::KvReply;
use jd_backing::KvRequest;
use jd_backing::Version;
use jd_types::Incarnation;
use jd_types::MemberState;
use jd_types::MonoTime;
use jd_types::Ppm;

use crate::Members;
use crate::ShareMap;

/// How often the record is read.
const REFRESH: Duration = Duration::from_secs(2);
/// How long a reading of the record entitles to the own part.
const HOLD: Duration = Duration::from_secs(8);
/// How recent a round trip with a peer must be to count as touch.
const TOUCH: Duration = Duration::from_secs(3);
/// Silence after which an owner is suspected.
const SUSPECT_AFTER: Duration = Duration::from_secs(10);
/// Allowance for clocks of different speed.
const DRIFT: Duration = Duration::from_secs(2);
/// How long a suspicion must stand if the other owners cannot be asked.
const LONE_WAIT: Duration = Duration::from_secs(60);
/// Differences smaller than this are not worth a write.
const WORTH: Ppm = Ppm::new(10_000);

/// What the keeper needs to know to plan its next call.
#[derive(Debug, Clone, Copy)]
pub struct ShareView<'a> {
    /// The members as this instance knows them.
    pub members: &'a Members,
    /// The largest part of every limit that is neither in use nor lent here.
    pub idle: Ppm,
    /// The longest deadline of any pipeline.
    pub longest: Duration,
}

#[derive(Debug)]
struct Reading {
    version: Version,
    map: ShareMap,
    at: MonoTime,
}

/// This instance's own part of every limit, kept in one shared record.
///
/// Guards against two failures. A limit held by several instances is exceeded
/// when a part counts twice: so a part is given up before the write that gives
/// it away, and taken only after the record was read. And a part is lost when
/// its owner dies: so the others take it back, but only when the owner cannot
/// be using it any more. An owner uses its part only while it has either read
/// the record unsuspected within 8 s (`HOLD`), or been in touch with a majority of
/// the owners within 3 s (`TOUCH`). Whoever takes a part back has first marked the
/// owner as suspected and waited longer than `HOLD` and any deadline, and is in
/// touch with enough owners that the silent one cannot have a majority. So
/// parts stay usable through an outage of the platform's service, when nobody
/// can take anything back.
#[derive(Debug)]
pub struct ShareKeeper {
    me: Incarnation,
    reading: Option<Reading>,
    pending: Option<Pending>,
    giving: Ppm,
    leaving: bool,
    vacant: bool,
    started: Option<MonoTime>,
    suspected_since: BTreeMap<Suspicion, MonoTime>,
}

/// One suspicion. An owner that speaks up and is suspected again gets the whole
/// wait again, even if the moment between was not seen here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Suspicion {
    who: Incarnation,
    number: u32,
}

#[derive(Debug)]
struct Pending {
    asked: MonoTime,
    written: Option<ShareMap>,
}

impl ShareKeeper {
    /// A keeper that has read nothing.
    pub fn new(me: Incarnation) -> ShareKeeper {
        ShareKeeper {
            me,
            reading: None,
            pending: None,
            giving: Ppm::ZERO,
            leaving: false,
            vacant: false,
            started: None,
            suspected_since: BTreeMap::new(),
        }
    }

    /// The part that this instance may use now.
    pub fn usable(&self, now: MonoTime, members: &Members) -> Ppm {
        match &self.reading {
            Some(r) if self.entitled(r, now, members) => r.map.part(self.me).minus(self.giving),
            _ => Ppm::ZERO,
        }
    }

    /// The record as last read.
    pub fn map(&self) -> Option<&ShareMap> {
        self.reading.as_ref().map(|r| &r.map)
    }

    /// From now on everything is given away, as far as it is idle.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// True once nothing is left to give away.
    pub fn has_left(&self) -> bool {
        self.reading
            .as_ref()
            .is_none_or(|r| r.map.part(self.me) == Ppm::ZERO)
    }

    /// The next call to make, if any; report its result before asking again.
    pub fn next_call(&mut self, now: MonoTime, view: ShareView<'_>) -> Option<KvRequest> {
        if self.pending.is_some() {
            return None;
        }
        self.started.get_or_insert(now);
        let (planned, version, mine) = match &self.reading {
            Some(r) if now.since(r.at) < REFRESH => {
                (self.plan(now, r, view)?, r.version, r.map.part(self.me))
            }
            None if self.vacant => {
                return Some(self.write(now, ShareMap::sole(self.me), Expect::Absent));
            }
            _ => return Some(self.read(now)),
        };
        // Given up before it is written: whoever reads the new record may use
        // the part at once.
        self.giving = mine.minus(planned.part(self.me));
        Some(self.write(now, planned, Expect::Version(version)))
    }

    /// The result of the last call.
    pub fn on_reply(&mut self, now: MonoTime, reply: Result<KvReply, KvError>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match (reply, pending.written) {
            (Ok(KvReply::Found { entry: Some(e) }), None) => self.took(pending.asked, now, e),
            (Ok(KvReply::Found { entry: None }), None) => {
                self.reading = None;
                self.vacant = true;
            }
            (Ok(KvReply::Written { version }), Some(map)) => {
                self.giving = Ppm::ZERO;
                self.see(now, &map);
                self.reading = Some(Reading {
                    version,
                    map,
                    at: pending.asked,
                });
            }
            (Ok(KvReply::Conflict { .. }), Some(_)) => self.invalidate(),
            // In doubt whether it was written: what was to be given stays given
            // until the record is read again.
            (Err(KvError::Lost), Some(_)) => self.invalidate(),
            (Err(KvError::Unavailable), Some(_)) => self.giving = Ppm::ZERO,
            _ => {}
        }
    }

    fn read(&mut self, now: MonoTime) -> KvRequest {
        self.vacant = false;
        self.pending = Some(Pending {
            asked: now,
            written: None,
        });
        KvRequest::Get {
            key: KvKey::shares(),
        }
    }

    fn write(&mut self, now: MonoTime, map: ShareMap, expect: Expect) -> KvRequest {
        // The map is plain data; it always has a JSON form.
        let value = serde_json::to_string(&map).unwrap_or_default();
        self.pending = Some(Pending {
            asked: now,
            written: Some(map),
        });
        KvRequest::Put {
            key: KvKey::shares(),
            value,
            expect,
            lease: None,
        }
    }

    fn took(&mut self, asked: MonoTime, now: MonoTime, entry: jd_backing::KvEntry) {
        // A record that cannot be read entitles to nothing.
        if let Ok(map) = serde_json::from_str::<ShareMap>(&entry.value) {
            self.giving = Ppm::ZERO;
            self.see(now, &map);
            self.reading = Some(Reading {
                version: entry.version,
                map,
                at: asked,
            });
        }
    }

    /// Makes the next call a reading, and keeps what the last one entitles to.
    fn invalidate(&mut self) {
        self.vacant = false;
        if let Some(r) = &mut self.reading {
            r.at = r.at.before(REFRESH);
        }
    }

    fn see(&mut self, now: MonoTime, map: &ShareMap) {
        let suspected = map.owners().filter(|(_, e)| e.suspected);
        let standing = suspected.map(|(who, e)| Suspicion {
            who,
            number: e.suspicions,
        });
        let standing: Vec<Suspicion> = standing.collect();
        self.suspected_since.retain(|s, _| standing.contains(s));
        for suspicion in standing {
            self.suspected_since.entry(suspicion).or_insert(now);
        }
    }

    fn entitled(&self, r: &Reading, now: MonoTime, members: &Members) -> bool {
        let confirmed = now.since(r.at) <= HOLD && !r.map.is_suspected(self.me);
        confirmed || self.touched(&r.map, now, members) * 2 > r.map.len()
    }

    fn touched(&self, map: &ShareMap, now: MonoTime, members: &Members) -> usize {
        map.owners()
            .filter(|(who, _)| members.in_touch(now, *who, TOUCH))
            .count()
    }

    /// The record as it should be, if that differs enough to be written.
    fn plan(&self, now: MonoTime, r: &Reading, view: ShareView<'_>) -> Option<ShareMap> {
        let mut map = r.map.clone();
        if map.is_suspected(self.me) {
            map.suspect(self.me, false);
            return Some(map);
        }
        if let Some(gone) = self.surely_gone(now, &map, view) {
            let part = map.part(gone);
            map.transfer(gone, self.me, part);
            return Some(map);
        }
        // Right after its start an instance has heard from nobody yet.
        let settled = self.started.is_some_and(|s| now.since(s) >= SUSPECT_AFTER);
        if let Some(silent) = self
            .newly_silent(now, &map, view.members)
            .filter(|_| settled)
        {
            map.suspect(silent, true);
            return Some(map);
        }
        let (to, amount) = self.donation(now, &map, view)?;
        map.transfer(self.me, to, amount);
        Some(map)
    }

    fn newly_silent(
        &self,
        now: MonoTime,
        map: &ShareMap,
        members: &Members,
    ) -> Option<Incarnation> {
        let unsuspected = map
            .owners()
            .filter(|(_, e)| !e.suspected)
            .map(|(who, _)| who);
        let mut others = unsuspected.filter(|who| *who != self.me);
        others.find(|who| is_silent(now, *who, members))
    }

    fn surely_gone(
        &self,
        now: MonoTime,
        map: &ShareMap,
        view: ShareView<'_>,
    ) -> Option<Incarnation> {
        let touched = self.touched(map, now, view.members);
        // With that many owners in touch here, those left are no majority.
        let blocking = (map.len() - touched) * 2 <= map.len();
        let wait = match blocking {
            true => HOLD + DRIFT + view.longest,
            false => LONE_WAIT + view.longest,
        };
        let mut waited = self
            .suspected_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= wait);
        let gone = waited.find(|(s, _)| is_silent(now, s.who, view.members));
        gone.map(|(s, _)| s.who)
    }

    /// To whom this instance gives how much. Only the richest gives, to the
    /// poorest, so that instances do not all write at once.
    fn donation(
        &self,
        now: MonoTime,
        map: &ShareMap,
        view: ShareView<'_>,
    ) -> Option<(Incarnation, Ppm)> {
        let mine = map.part(self.me);
        let serving = |who: &Incarnation| {
            let m = view.members.get(*who);
            let state = m.map_or(MemberState::Stopped, |m| m.state);
            state == MemberState::Serving && view.members.in_touch(now, *who, TOUCH)
        };
        let live: Vec<Incarnation> = view.members.others().map(|m| m.incarnation).collect();
        let takers = live
            .iter()
            .copied()
            .filter(serving)
            .collect::<Vec<Incarnation>>();
        let poorest = takers
            .iter()
            .copied()
            .min_by_key(|who| (map.part(*who), *who))?;
        let richest = takers
            .iter()
            .all(|who| (map.part(*who), *who) < (mine, self.me));
        let fair = Ppm::new(Ppm::WHOLE.get() / (takers.len() as u32 + 1));
        let gap = mine.minus(fair).min(fair.minus(map.part(poorest)));
        match self.leaving {
            true => Some((poorest, mine.min(view.idle))).filter(|(_, a)| *a > Ppm::ZERO),
            false if richest => Some((poorest, gap.min(view.idle))).filter(|(_, a)| *a >= WORTH),
            false => None,
        }
    }
}

fn is_silent(now: MonoTime, who: Incarnation, members: &Members) -> bool {
    members.silence(now, who).is_none_or(|s| s >= SUSPECT_AFTER)
}
