//! Tests of the choice among hosts of an app service.

use std::net::SocketAddr;

use jasminetack_domain::service;

/// Guards against a host that refuses connections getting each call first, since it has the fewest
/// in flight.
#[test]
fn refusing_host_is_tried_last_for_a_while() {
    let hosts = [SocketAddr::from(([127, 0, 0, 1], 1)), SocketAddr::from(([127, 0, 0, 1], 2))];
    let mut balancer = service::LoadBalancer::default();
    assert_eq!(balancer.choose(&hosts, &[], 0, 0), Some(hosts[0]));
    balancer.connection_refused(&hosts[0], 0);
    balancer.call_ended(&hosts[0], 0);
    for _ in 0..3 {
        assert_eq!(balancer.choose(&hosts, &[], 0, 500), Some(hosts[1]));
    }
    assert_eq!(balancer.choose(&hosts, &hosts[1..], 0, 500), Some(hosts[0]));
    balancer.call_ended(&hosts[0], 500);
    assert_eq!(balancer.choose(&hosts, &[], 0, 1_500), Some(hosts[0]));
    assert_eq!(balancer.choose(&hosts, &hosts, 0, 1_500), None);
    assert_eq!(balancer.choose(&[], &[], 0, 1_500), None);
}
