//! Start and end of the daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use arc_swap::ArcSwap;
use jasminetack_domain::route;
use jasminetack_program::log;
use jasminetack_wire::peer;
use parking_lot::Mutex;
use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::clock;
use crate::control;
use crate::in_flight;
use crate::journal;
use crate::metrics;
use crate::ops;
use crate::platform;
use crate::settings;
use crate::snapshot;
use crate::traffic;

/// Why the daemon could not start.
#[derive(Debug, snafu::Snafu)]
pub enum StartError {
    /// The logger could not be built.
    #[snafu(display("cannot start logging: {source}"))]
    Log {
        /// Cause.
        source: spdlog::Error,
    },
    /// A thread or the runtime could not be started.
    #[snafu(display("cannot start {part}: {source}"))]
    Thread {
        /// What was being started.
        part: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// A port is not available.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the port.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
}

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// Fails when a thread, the runtime or a port is not available.
pub fn run(settings: settings::Settings) -> Result<(), StartError> {
    log::start(spdlog::Level::Info).context(LogSnafu)?;
    let settings = Arc::new(settings);
    let clock = clock::Clock::start();
    let snapshot = Arc::new(ArcSwap::from_pointee(snapshot::Snapshot::default()));
    let metrics = Arc::new(metrics::Metrics::new());
    let journal = Arc::new(journal::Journal::new(settings.explain_requests));
    let ops = ops::Ops {
        host: settings.host.clone(),
        clock,
        snapshot: Arc::clone(&snapshot),
        metrics: Arc::clone(&metrics),
        journal: Arc::clone(&journal),
    };
    ops.start(settings.ops_address).context(ListenSnafu { address: settings.ops_address })?;
    let (control_sender, control_receiver) = crossbeam_channel::unbounded();
    let worker_events = control_sender.clone();
    let platform = platform::Client::start(&settings, control_sender.clone(), &metrics)
        .context(ThreadSnafu { part: "the platform threads" })?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()
        .context(ThreadSnafu { part: "the traffic runtime" })?;
    let dispatcher = Arc::new(traffic::Dispatcher::new(
        &settings,
        clock,
        Arc::clone(&journal),
        worker_events,
        runtime.handle().clone(),
    ));
    let control =
        control::Control::new(&settings, platform, Arc::clone(&dispatcher), Arc::clone(&snapshot));
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control::run(control, &control_receiver))
        .context(ThreadSnafu { part: "the control thread" })?;
    let hello = peer::Hello {
        host: settings.host.to_string(),
        incarnation: 0,
        secret: settings.peer_secret.clone(),
    };
    let peers = traffic::PeerClient::new(hello);
    let owners = traffic::Owners::new(settings.host.clone(), Arc::clone(&dispatcher), peers);
    let in_flight = in_flight::InFlight::default();
    let peer_server = traffic::PeerServer::new(
        settings.peer_secret.clone(),
        control_sender,
        dispatcher,
        in_flight.clone(),
    );
    let address = settings.peers_address;
    let listener = runtime.block_on(TcpListener::bind(address)).context(ListenSnafu { address })?;
    runtime.spawn(peer_server.serve(listener));
    let batch_places = u32::try_from(settings.engine_batch).unwrap_or(u32::MAX);
    let router = traffic::Router::new(route::Scored::new(batch_places), rand::random());
    let extra = traffic::Extra::new(&settings);
    let caller = platform::Caller::new(&settings);
    let (group_ms, retention_ms) = (settings.claim_group_ms, settings.claim_retention_ms);
    let claims = platform::Claims::start(&caller, group_ms, retention_ms, &in_flight)
        .context(ThreadSnafu { part: "the claim threads" })?;
    let ceilings = traffic::Ceilings::default();
    let services = traffic::Services::new(
        Arc::clone(&settings),
        Arc::clone(&snapshot),
        clock,
        Arc::clone(&journal),
        claims,
        ceilings.clone(),
    );
    let address = settings.callers_address;
    let models = traffic::Models {
        settings,
        snapshot,
        clock,
        owners,
        router: Arc::new(router),
        metrics,
        in_flight,
        journal,
        extra: Mutex::new(extra),
    };
    let server = traffic::Server::new(Arc::new(models), Arc::new(services), ceilings);
    let listener = runtime.block_on(TcpListener::bind(address)).context(ListenSnafu { address })?;
    let listening = listener.local_addr().unwrap_or(address).to_string();
    spdlog::info!("listening", kv: { port = "callers", address = listening.as_str() });
    runtime.block_on(server.serve(listener));
    Ok(())
}
