//! Heartbeats to other instances, and what comes back with them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use jd_coord::Delta;
use jd_coord::Member;
use jd_coord::News;
use jd_coord::Pulse;
use jd_net::lock;
use jd_net::with_timeout;
use jd_policy::PeerLoadReport;
use jd_types::MonoTime;
use jd_wire::Exchange;
use jd_wire::ExchangeAnswer;
use jd_wire::ExchangeRequest;
use jd_wire::Hint;
use jd_wire::PeerClient;
use prost::Message;

use crate::peer_links::PeerLink;
use crate::peer_links::Turn;
use crate::shared::Shared;

/// Time from one heartbeat to the next.
const EVERY: Duration = Duration::from_millis(1_000);
/// The least time between two, however urgent.
const AT_LEAST: Duration = Duration::from_millis(50);
/// How long an answer may take.
const ANSWER_WITHIN: Duration = Duration::from_millis(400);
/// Up to that many instances, everybody exchanges everything with everybody.
pub(crate) const SMALL_FLEET: usize = 16;
/// Partners of the own hall in a larger fleet.
const NEAR: usize = 3;
/// Partners of other halls in a larger fleet.
const FAR: usize = 1;

/// Sends heartbeats for as long as the instance lives.
pub(crate) async fn beat(shared: Arc<Shared>) {
    loop {
        beat_once(&shared);
        let urgent = shared.urgent.listen();
        Timer::after(AT_LEAST).await;
        let regular = async {
            Timer::after(EVERY - AT_LEAST).await;
        };
        urgent.or(regular).await;
    }
}

/// Sends one heartbeat to each partner, without waiting for answers.
pub(crate) fn beat_once(shared: &Arc<Shared>) {
    note_self(shared);
    let now = shared.now();
    let news = lock(&shared.members).tick(now);
    take_news(shared, &news);
    let partners = partners(shared);
    let count = u32::try_from(partners.len()).unwrap_or(u32::MAX);
    for partner in partners {
        let link = shared.links.get(partner.address);
        if let Some(turn) = link.turn() {
            let exchanging = exchange(Arc::clone(shared), link, turn, partner, count);
            shared.workers.spawn(exchanging).detach();
        }
    }
}

/// Whom to exchange with.
#[derive(Debug, Clone)]
struct Partner {
    address: SocketAddr,
    member: Option<Member>,
}

/// States this instance's condition in its own entry.
pub(crate) fn note_self(shared: &Shared) -> Member {
    let revision = lock(&shared.replica).config().revision;
    let in_flight = shared.in_flight.load(Ordering::Relaxed);
    let epoch = lock(&shared.runs).binding(shared.now()).epoch;
    let state = shared.state();
    let mut members = lock(&shared.members);
    let count = members.others().count();
    shared
        .metrics
        .set_state(in_flight, count, shared.base().get());
    members.beat(state, revision, in_flight, epoch).clone()
}

/// Known members, and listed addresses that no known member has.
fn partners(shared: &Shared) -> Vec<Partner> {
    let members = lock(&shared.members);
    let small = members.others().count() <= SMALL_FLEET;
    let (near, far) = if small {
        (SMALL_FLEET, SMALL_FLEET)
    } else {
        (NEAR, FAR)
    };
    let known = members.partners(near, far, &mut fastrand::Rng::new());
    let strange = |a: &SocketAddr| members.others().all(|m| m.peers != *a);
    let seeds: Vec<SocketAddr> = shared.links.seeds().into_iter().filter(strange).collect();
    shared
        .links
        .retain(|a| seeds.contains(&a) || members.others().any(|m| m.peers == a));
    let known = known.into_iter().map(|m| Partner {
        address: m.peers,
        member: Some(m),
    });
    known
        .chain(seeds.into_iter().map(|address| Partner {
            address,
            member: None,
        }))
        .collect()
}

async fn exchange(shared: Arc<Shared>, link: PeerLink, turn: Turn, partner: Partner, peers: u32) {
    let asked = shared.now();
    let question = question(&shared, asked, &partner, peers);
    let mut client = PeerClient::new(link.channel.clone());
    let message = ExchangeRequest::from(&question);
    let sent = message.encoded_len();
    let answer = match with_timeout(ANSWER_WITHIN, client.exchange(message)).await {
        Some(Ok(answer)) => answer.into_inner(),
        Some(Err(_)) => return,
        None => {
            // It may be silent for good; the next heartbeat opens another.
            link.channel.reset();
            return;
        }
    };
    shared.metrics.add_peer_bytes(sent + answer.encoded_len());
    match ExchangeAnswer::try_from(answer) {
        Ok(answer) => take_answer(&shared, asked, answer),
        Err(e) => log::warn!(peer:% = partner.address, error:% = e; "peer's answer refused"),
    }
    drop(turn);
}

fn question(shared: &Shared, now: MonoTime, partner: &Partner, peers: u32) -> Exchange {
    let base = shared.base();
    let (from, pulses, strangers) = {
        let mut members = lock(&shared.members);
        let hall = partner
            .member
            .as_ref()
            .map_or(&members.me().hall, |m| &m.hall)
            .clone();
        let strangers = members.take_strangers();
        (
            members.me().clone(),
            members.pulses_for(&hall, SMALL_FLEET),
            strangers,
        )
    };
    let asks = match &partner.member {
        Some(m) => lock(&shared.loans).asks(now, base, m.incarnation, peers),
        None => Vec::new(),
    };
    let sequence = shared.sequence.fetch_add(1, Ordering::Relaxed) + 1;
    Exchange {
        from,
        sequence,
        pulses,
        strangers,
        hints: hints(shared),
        asks,
    }
}

/// What this instance has seen of upstreams: those that leave, and its own
/// requests there.
pub(crate) fn hints(shared: &Shared) -> Vec<Hint> {
    let snapshot = shared.snapshot.load();
    let worth = |h: &Hint| h.leaving || h.in_flight > 0;
    let all = snapshot.by_address.iter().map(|(address, u)| Hint {
        address: *address,
        leaving: u.is_leaving(),
        in_flight: u.in_flight(),
    });
    all.filter(worth).collect()
}

fn take_answer(shared: &Arc<Shared>, asked: MonoTime, answer: ExchangeAnswer) {
    let peer = answer.from.incarnation;
    take_report(
        shared,
        answer.from,
        answer.members,
        &answer.pulses,
        &answer.hints,
    );
    {
        let mut members = lock(&shared.members);
        members.exchanged(shared.now(), peer);
    }
    lock(&shared.loans).granted(asked, peer, &answer.grants);
    if !answer.grants.is_empty() {
        crate::share_sync::apply(shared);
    }
    match answer.delta {
        Delta::Nothing => {}
        Delta::Records(records) => crate::config_sync::learn(shared, records),
        Delta::Snapshot(config) => crate::config_sync::learn_snapshot(shared, *config),
    }
}

/// Takes in what a peer says of members and upstreams.
pub(crate) fn take_report(
    shared: &Shared,
    from: Member,
    members: Vec<Member>,
    pulses: &[Pulse],
    hints: &[Hint],
) {
    let now = shared.now();
    let who = from.incarnation;
    let news: Vec<News> = {
        let mut table = lock(&shared.members);
        let told = std::iter::once(from).chain(members);
        let mut news: Vec<News> = told.filter_map(|m| table.hear(now, m)).collect();
        news.extend(pulses.iter().filter_map(|p| table.hear_pulse(now, p)));
        news
    };
    take_news(shared, &news);
    let snapshot = shared.snapshot.load();
    for hint in hints {
        if hint.leaving {
            crate::list_sync::saw_leaving(shared, hint.address);
        }
    }
    let loads = hints.iter().map(|h| (h.address, h.in_flight)).collect();
    for (address, in_flight) in lock(&shared.peer_loads).replace(who, loads) {
        if let Some(upstream) = snapshot.by_address.get(&address) {
            upstream.set_peer_load(PeerLoadReport {
                in_flight,
                received: now,
            });
        }
    }
}

fn take_news(shared: &Shared, news: &[News]) {
    for n in news {
        match n {
            News::Joined(who) => log::info!(member:% = who; "member joined"),
            News::Moved(who, state) => {
                log::info!(member:% = who, state:% = state; "member moved on")
            }
            News::Gone(who) => {
                lock(&shared.loans).forget(*who);
                lock(&shared.peer_loads).remove(*who);
                log::info!(member:% = who; "member gone");
            }
        }
    }
}
