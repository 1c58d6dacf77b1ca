//! The platform's host list as last read.

use std::net::SocketAddr;

use indexmap::IndexMap;
use jasminetack_domain::lease;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_wire::platform as wire;

/// Hosts by role; the last list stays in use while the platform is unreachable.
#[derive(Debug, Default)]
pub struct HostList {
    last: wire::HostList,
    workers: IndexMap<name::WorkerName, WorkerHost>,
    services: IndexMap<name::ServiceName, Vec<SocketAddr>>,
    daemons: IndexMap<name::HostName, DaemonHost>,
    /// Highest incarnation of each entry host in any list so far.
    highest_incarnations: IndexMap<name::HostName, u64>,
}

/// Host of a model worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerHost {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Region and failure domain.
    pub locality: locality::Locality,
    /// Base model that the engine serves.
    pub base_model: name::BaseModelName,
    /// Whether the engine refuses requests with an outdated fencing token.
    pub refuses_old_fencing: bool,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// Entry host, which runs a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonHost {
    /// Address on which the daemon listens for peers.
    pub address: SocketAddr,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// Incarnation of the host.
    pub incarnation: u64,
}

impl HostList {
    /// Replaces the list; returns whether anything changed.
    pub fn apply(&mut self, list: wire::HostList) -> bool {
        if list == self.last {
            return false;
        }
        self.last = list.clone();
        self.workers.clear();
        self.services.clear();
        self.daemons.clear();
        for host in list.hosts {
            let Ok(address) = host.address.parse() else {
                let (host, address) = (host.name.as_str(), host.address.as_str());
                spdlog::error!("host-invalid", kv: { host, address });
                continue;
            };
            let locality = locality::Locality::new(
                name::RegionName::from(host.region),
                name::FailureDomainName::from(host.failure_domain),
            );
            let leaving = host.leaving;
            match host.role {
                wire::HostRole::Entry => {
                    let name = name::HostName::from(host.name);
                    let incarnation = host.incarnation;
                    let highest_incarnation =
                        self.highest_incarnations.entry(name.clone()).or_default();
                    *highest_incarnation = incarnation.max(*highest_incarnation);
                    self.daemons.insert(name, DaemonHost { address, leaving, incarnation });
                }
                wire::HostRole::Engine { base_model, refuses_old_fencing } => {
                    let base_model = name::BaseModelName::from(base_model);
                    let worker =
                        WorkerHost { address, locality, base_model, refuses_old_fencing, leaving };
                    self.workers.insert(name::WorkerName::from(host.name), worker);
                }
                wire::HostRole::App { service } => {
                    let addresses =
                        self.services.entry(name::ServiceName::from(service)).or_default();
                    // Leaving hosts receive no new requests.
                    if !leaving {
                        addresses.push(address);
                    }
                }
            }
        }
        true
    }

    /// Returns the model workers.
    pub fn workers(&self) -> &IndexMap<name::WorkerName, WorkerHost> {
        &self.workers
    }

    /// Returns the addresses of each app service.
    pub fn services(&self) -> &IndexMap<name::ServiceName, Vec<SocketAddr>> {
        &self.services
    }

    /// Returns the entry hosts.
    pub fn daemons(&self) -> &IndexMap<name::HostName, DaemonHost> {
        &self.daemons
    }

    /// Returns whether an entry host is leaving.
    pub fn is_leaving(&self, host: &name::HostName) -> bool {
        self.daemons.get(host).is_some_and(|daemon| daemon.leaving)
    }

    /// Returns whether the list proves that a former owner's process has terminated.
    pub fn proves_terminated(&self, former: &lease::FormerOwner) -> bool {
        let host = &former.holder.host;
        let listed = self.daemons.get(host).map(|daemon| daemon.incarnation);
        former.ended_by_host_list(self.highest_incarnations.get(host).copied(), listed)
    }
}
