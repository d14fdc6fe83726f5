//! Permits to send to upstreams with a rate limit: requesting them, and giving them out.

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

/// Number of shards that upstreams are divided into, each with an instance that gives out
/// permits.
const PARTS: u32 = 8;
/// Timeout of a permit request: several round trips between zones.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long an instance that did not answer gets no permit requests.
const SILENT_PAUSE: Duration = Duration::from_secs(1);
/// When to retry if no instance that gives out permits answers.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// How long an unused limiter is kept.
const UNUSED_LIMITER_TTL: Duration = Duration::from_secs(60);
/// Number of limiters above which unused ones are removed.
const PRUNE_ABOVE: usize = 512;

/// A limiter and when it was last used.
#[derive(Debug)]
struct UsedLimiter {
    limiter: RateLimiter,
    last_used: MonoTime,
}

/// The limiters of this instance, and the instances that did not answer permit requests.
#[derive(Debug, Default)]
pub(crate) struct Limiters {
    own: Mutex<HashMap<CompactString, UsedLimiter>>,
    silent: Mutex<HashMap<SocketAddr, MonoTime>>,
}

impl Limiters {
    /// Decides on a permit for an upstream, by its identity, with this instance's own
    /// limiter. An upstream that no longer has a limit needs no permit.
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
            .is_some_and(|s| state.duty_order(&s).first() == Some(&state.own_entry.peer_address));
        let part = match first {
            true => LimiterShare::Whole,
            false => LimiterShare::Quarter,
        };
        let mut own = lock(&self.own);
        if own.len() > PRUNE_ABOVE {
            own.retain(|_, used| now.since(used.last_used) < UNUSED_LIMITER_TTL);
        }
        let used = own.entry(id.into()).or_insert_with(|| UsedLimiter {
            limiter: RateLimiter::new(now),
            last_used: now,
        });
        used.last_used = now;
        let decided = used.limiter.acquire(now, rate, part, priority);
        state.metrics.permit(match decided {
            Ok(()) => "granted",
            Err(_) => "turned-away",
        });
        decided
    }

    /// Requests a permit from the instance that gives them out for an upstream; if
    /// refused, how long until the next turn.
    pub(crate) async fn acquire(
        &self,
        state: &State,
        upstream: &UpstreamRef,
        notice: LimitNotice,
        priority: u8,
    ) -> Result<(), Duration> {
        let order = state.duty_order(&shard_of(upstream.address));
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
            match with_timeout(PERMIT_TIMEOUT, client.acquire_permit(req)).await {
                Some(Ok(reply)) => return peer_limits::permit_decision(state, reply.into_inner()),
                Some(Err(_)) => {}
                // This connection may hang forever while new ones work.
                None => channel.reset(),
            }
            log::warn!(limiter:% = limiter, upstream = upstream.id.as_str(); "instance that gives out permits does not answer");
            state.metrics.permit("silent");
            lock(&self.silent).insert(limiter, state.now());
        }
        Err(RETRY_PAUSE)
    }

    fn is_silent(&self, now: MonoTime, limiter: SocketAddr) -> bool {
        let mut silent = lock(&self.silent);
        silent.retain(|_, since| now.since(*since) < SILENT_PAUSE);
        silent.contains_key(&limiter)
    }
}

/// The shard of the upstream at an address.
fn shard_of(upstream: SocketAddr) -> Shard {
    Shard {
        zone: None,
        part: (hash_address(upstream) % u64::from(PARTS)) as u32,
        parts: PARTS,
    }
}
