//! Fewest-in-flight choice among the hosts of app services.

use std::net::SocketAddr;

use indexmap::IndexMap;

/// Time for which a host that refused a connection is tried last.
const REFUSED_HOST_PENALTY_MS: u64 = 1_000;

/// Calls in flight from this daemon by host.
///
/// ```
/// use std::net::SocketAddr;
///
/// use jasminetack_domain::service;
///
/// let hosts = [SocketAddr::from(([127, 0, 0, 1], 1)), SocketAddr::from(([127, 0, 0, 1], 2))];
/// let mut balancer = service::LoadBalancer::default();
/// let first = balancer.choose(&hosts, &[], 0, 0).unwrap();
/// assert_ne!(balancer.choose(&hosts, &[], 0, 0), Some(first));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    hosts: IndexMap<SocketAddr, HostLoad>,
}

#[derive(Clone, Copy, Debug, Default)]
struct HostLoad {
    in_flight: u32,
    avoid_until_ms: u64,
}

impl LoadBalancer {
    /// Chooses the host with the fewest calls in flight and counts the call; `call_ended` must follow.
    ///
    /// `start` is a random number; equal hosts are taken from there, so that daemons without load
    /// do not all choose the first one.
    pub fn choose(
        &mut self,
        hosts: &[SocketAddr],
        excluded: &[SocketAddr],
        start: usize,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        let mut best = None;
        for offset in 0..hosts.len() {
            let host = hosts[(start % hosts.len() + offset) % hosts.len()];
            if excluded.contains(&host) {
                continue;
            }
            let load = self.hosts.get(&host).copied().unwrap_or_default();
            let cost = (load.avoid_until_ms > now_ms, load.in_flight);
            if best.as_ref().is_none_or(|(_, lowest)| cost < *lowest) {
                best = Some((host, cost));
            }
        }
        let (host, _) = best?;
        self.hosts.entry(host).or_default().in_flight += 1;
        Some(host)
    }

    /// Counts the end of a call.
    pub fn call_ended(&mut self, host: &SocketAddr, now_ms: u64) {
        let Some(load) = self.hosts.get_mut(host) else { return };
        load.in_flight = load.in_flight.saturating_sub(1);
        if load.in_flight == 0 && load.avoid_until_ms <= now_ms {
            self.hosts.swap_remove(host);
        }
    }

    /// A host refused a connection.
    pub fn connection_refused(&mut self, host: &SocketAddr, now_ms: u64) {
        self.hosts.entry(*host).or_default().avoid_until_ms = now_ms + REFUSED_HOST_PENALTY_MS;
    }
}
