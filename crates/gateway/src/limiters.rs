//! Permits to send to upstreams that name a limit: asking for them, and giving them out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use compact_str::CompactString;
use jd_net::lock;
use jd_net::with_timeout;
use jd_serving::LimitNotice;
use jd_serving::LimiterShare;
use jd_serving::RateLimiter;
use jd_serving::Shard;
use jd_types::MonoTime;
use jd_types::hash_address;
use jd_wire::GatewayClient;

use crate::peer_limits;
use crate::run_events::UpstreamRef;
use crate::state::State;

/// Parts that upstreams are divided into, each with an instance that gives out permits.
const PARTS: u32 = 8;
/// How long an instance may take to answer: several round trips between zones.
const ASK_WITHIN: Duration = Duration::from_millis(150);
/// How long one that was silent is not asked.
const SILENT_FOR: Duration = Duration::from_secs(1);
/// When to ask again while nobody answers who gives out permits.
const ASK_AGAIN: Duration = Duration::from_millis(300);
/// How long a limiter is kept that nobody asks.
const KEPT_FOR: Duration = Duration::from_secs(60);
/// Limiters beyond which those that nobody asks are looked for.
const MANY: usize = 512;

/// A limiter and when it was last asked.
#[derive(Debug)]
struct Asked {
    limiter: RateLimiter,
    at: MonoTime,
}

/// What this instance gives out, and which others do not answer.
#[derive(Debug, Default)]
pub(crate) struct Limiters {
    own: Mutex<HashMap<CompactString, Asked>>,
    silent: Mutex<HashMap<SocketAddr, MonoTime>>,
}

impl Limiters {
    /// Decides here on a permit for an upstream, by its identity. One that names no limit
    /// any more needs none.
    pub(crate) fn acquire_local(
        &self,
        state: &State,
        id: &str,
        priority: u8,
    ) -> Result<(), Duration> {
        let now = state.now();
        let Some(rate) = state.limits.limit(id) else {
            return Ok(());
        };
        let address = state.upstreams.load().address_of(id);
        let shard = address.map(shard_of);
        let first = shard
            .is_some_and(|s| state.owner_order(&s).first() == Some(&state.own_entry.peer_address));
        let part = match first {
            true => LimiterShare::Whole,
            false => LimiterShare::Quarter,
        };
        let mut own = lock(&self.own);
        if own.len() > MANY {
            own.retain(|_, asked| now.since(asked.at) < KEPT_FOR);
        }
        let asked = own.entry(id.into()).or_insert_with(|| Asked {
            limiter: RateLimiter::new(now),
            at: now,
        });
        asked.at = now;
        let decided = asked.limiter.acquire(now, rate, part, priority);
        state.metrics.permit(match decided {
            Ok(()) => "granted",
            Err(_) => "turned-away",
        });
        decided
    }

    /// Asks the instance that gives out permits for an upstream; how long until a turn
    /// comes, if it has none.
    pub(crate) async fn acquire(
        &self,
        state: &State,
        upstream: &UpstreamRef,
        notice: LimitNotice,
        priority: u8,
    ) -> Result<(), Duration> {
        let order = state.owner_order(&shard_of(upstream.address));
        for limiter in order {
            if limiter == state.own_entry.peer_address {
                return self.acquire_local(state, &upstream.id, priority);
            }
            if self.is_silent(state.now(), limiter) {
                continue;
            }
            let channel = state.channels.channel_to(limiter);
            let mut client = GatewayClient::new(channel.clone());
            let req = peer_limits::permit_request(upstream, notice, priority, state.now());
            match with_timeout(ASK_WITHIN, client.acquire_permit(req)).await {
                Some(Ok(reply)) => return peer_limits::permit_decision(state, reply.into_inner()),
                Some(Err(_)) => {}
                // The connection may be silent for good while new ones work.
                None => channel.reset(),
            }
            log::warn!(limiter:% = limiter, upstream = upstream.id.as_str(); "instance that gives out permits is silent");
            state.metrics.permit("silent");
            lock(&self.silent).insert(limiter, state.now());
        }
        Err(ASK_AGAIN)
    }

    fn is_silent(&self, now: MonoTime, limiter: SocketAddr) -> bool {
        let mut silent = lock(&self.silent);
        silent.retain(|_, since| now.since(*since) < SILENT_FOR);
        silent.contains_key(&limiter)
    }
}

/// The part of the upstreams that one at this address belongs to.
fn shard_of(upstream: SocketAddr) -> Shard {
    Shard {
        zone: None,
        part: (hash_address(upstream) % u64::from(PARTS)) as u32,
        parts: PARTS,
    }
}
