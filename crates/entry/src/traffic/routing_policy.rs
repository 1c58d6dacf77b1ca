//! Routing policies that the settings can select.

use jasminetack_domain::route;

/// The selected routing policy: the default or a baseline.
#[derive(Clone, Copy, Debug)]
pub enum RoutingPolicy {
    /// Lowest predicted time to the first token; the default.
    Scored(route::Scored),
    /// Uniformly random choice.
    Random(route::Random),
    /// Fewest outstanding requests.
    LeastOutstanding(route::LeastOutstanding),
}

impl RoutingPolicy {
    /// Creates the policy with the name in the settings; `fifo` differs from `scored` only in the
    /// scheduling at the owners.
    pub fn from_name(name: &str, batch_places: usize) -> Self {
        match name {
            "random" => Self::Random(route::Random),
            "least-outstanding" => Self::LeastOutstanding(route::LeastOutstanding),
            _ => {
                let batch_places = u32::try_from(batch_places).unwrap_or(u32::MAX);
                Self::Scored(route::Scored::new(batch_places))
            }
        }
    }
}

impl route::Policy for RoutingPolicy {
    fn choose<Random>(
        &self,
        request: &route::RouteRequest<'_>,
        fleet: &route::Fleet,
        observations: &mut route::Observations,
        random: &mut Random,
        now_ms: u64,
    ) -> Option<route::Decision>
    where
        Random: rand::Rng,
    {
        match self {
            Self::Scored(policy) => policy.choose(request, fleet, observations, random, now_ms),
            Self::Random(policy) => policy.choose(request, fleet, observations, random, now_ms),
            Self::LeastOutstanding(policy) => {
                policy.choose(request, fleet, observations, random, now_ms)
            }
        }
    }
}
