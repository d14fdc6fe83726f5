//! Converts instance entries to and from messages between instances.

use jd_serving::InstanceEntry;
use jd_serving::Strength;
use jd_serving::UpstreamPath;
use jd_types::Incarnation;
use jd_types::Name;
use jd_wire::Instance;

/// Encodes an instance entry.
pub(crate) fn wire_instance(entry: &InstanceEntry) -> Instance {
    Instance {
        incarnation: entry.incarnation.get(),
        callers: entry.caller_address.to_string(),
        peers: entry.peer_address.to_string(),
        zone: entry.zone.as_str().into(),
        strength: entry.strength.step(),
    }
}

/// Decodes an instance entry; none if a field is missing or not valid.
pub(crate) fn instance_of(instance: &Instance) -> Option<InstanceEntry> {
    Some(InstanceEntry {
        incarnation: Incarnation::new(instance.incarnation),
        caller_address: instance.callers.parse().ok()?,
        peer_address: instance.peers.parse().ok()?,
        zone: Name::try_from(instance.zone.as_str()).ok()?,
        strength: Strength::from_step(instance.strength),
        leaving: false,
    })
}

/// Encodes whether an instance can connect to upstreams.
pub(crate) const fn wire_path(path: UpstreamPath) -> u32 {
    match path {
        UpstreamPath::Unknown => 0,
        UpstreamPath::Open => 1,
        UpstreamPath::Lost => 2,
    }
}

/// Decodes whether an instance can connect to upstreams.
pub(crate) const fn path_of(path: u32) -> UpstreamPath {
    match path {
        1 => UpstreamPath::Open,
        2 => UpstreamPath::Lost,
        _ => UpstreamPath::Unknown,
    }
}
