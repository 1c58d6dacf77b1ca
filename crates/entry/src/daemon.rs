//! Start-up and shutdown of the daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use arc_swap::ArcSwap;
use crossbeam_channel::Sender;
use jasminetack_program::log;
use jasminetack_wire::peer;
use parking_lot::Mutex;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::clock;
use crate::control;
use crate::decision_log;
use crate::in_flight;
use crate::metrics;
use crate::ops;
use crate::platform;
use crate::settings;
use crate::snapshot;
use crate::traffic;

/// Error that prevents the daemon from starting.
#[derive(Debug, snafu::Snafu)]
pub enum StartError {
    /// The logger could not be created.
    #[snafu(display("cannot start logging: {source}"))]
    Log {
        /// Cause.
        source: spdlog::Error,
    },
    /// A thread or the async runtime could not be started.
    #[snafu(display("cannot start {component}: {source}"))]
    Thread {
        /// Component that was being started.
        component: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// A port could not be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
}

/// Runs the daemon until it has shut down after SIGTERM or SIGINT.
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
    let decisions = Arc::new(decision_log::DecisionLog::new(settings.explain_requests));
    let ops_server = ops::OpsServer {
        host: settings.host.clone(),
        clock,
        snapshot: Arc::clone(&snapshot),
        metrics: Arc::clone(&metrics),
        decisions: Arc::clone(&decisions),
    };
    ops_server
        .start(settings.ops_address)
        .context(ListenSnafu { address: settings.ops_address })?;
    let (control_sender, control_receiver) = crossbeam_channel::unbounded();
    let worker_events = control_sender.clone();
    let platform = platform::Client::start(&settings, &control_sender, &metrics)
        .context(ThreadSnafu { component: "the platform threads" })?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()
        .context(ThreadSnafu { component: "the traffic runtime" })?;
    let dispatcher = Arc::new(traffic::Dispatcher::new(
        &settings,
        clock,
        Arc::clone(&decisions),
        worker_events,
        runtime.handle().clone(),
    ));
    // Bound before the session starts: a second process on this host fails here instead of taking
    // over the session.
    let address = settings.peers_address;
    let listener = runtime.block_on(TcpListener::bind(address)).context(ListenSnafu { address })?;
    let hello = peer::Hello {
        host: settings.host.to_string(),
        incarnation: 0,
        secret: settings.peer_secret.clone(),
    };
    let links = traffic::ControlLinks::new(runtime.handle().clone(), hello.clone());
    let context = control::Context::new(Arc::clone(&settings), clock, platform, links);
    let in_flight = in_flight::InFlight::default();
    let core = control::Core::new(
        context,
        Arc::clone(&dispatcher),
        Arc::clone(&snapshot),
        in_flight.clone(),
    );
    let (stage, mut stages) = watch::channel(control::Stage::Serving);
    let control = control::Control::new(core, Arc::clone(&settings), stage);
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control::run(control, &control_receiver))
        .context(ThreadSnafu { component: "the control thread" })?;
    let peers = traffic::PeerClient::new(hello);
    let limiter = traffic::ConcurrencyLimiter::new(
        settings.host.clone(),
        Arc::clone(&snapshot),
        clock,
        peers.clone(),
    );
    runtime.spawn(limiter.clone().maintain());
    let owners = traffic::OwnerClient::new(settings.host.clone(), Arc::clone(&dispatcher), peers);
    let peer_server = traffic::PeerServer::new(
        settings.peer_secret.clone(),
        control_sender.clone(),
        dispatcher,
        limiter.clone(),
        in_flight.clone(),
    );
    runtime.spawn(peer_server.serve(listener));
    forward_signals(control_sender).context(ThreadSnafu { component: "the signal thread" })?;
    let routing = traffic::RoutingPolicy::from_name(&settings.policy, settings.engine_batch);
    let router = traffic::Router::new(routing, rand::random());
    let attempt_budgets = traffic::AttemptBudgets::new(&settings);
    let store = platform::HttpClient::new(&settings);
    let (group_ms, retention_ms) = (settings.claim_group_ms, settings.claim_retention_ms);
    let claims = platform::Claims::start(&store, group_ms, retention_ms, &in_flight)
        .context(ThreadSnafu { component: "the claim threads" })?;
    let services = traffic::ServiceContext::new(
        Arc::clone(&settings),
        Arc::clone(&snapshot),
        clock,
        Arc::clone(&decisions),
        claims,
        limiter.clone(),
    );
    let address = settings.callers_address;
    let models = traffic::ModelContext {
        settings,
        snapshot,
        clock,
        owners,
        router: Arc::new(router),
        metrics,
        in_flight,
        decisions,
        attempt_budgets: Mutex::new(attempt_budgets),
    };
    let server = traffic::Server::new(Arc::new(models), Arc::new(services), limiter);
    let listener = runtime.block_on(TcpListener::bind(address)).context(ListenSnafu { address })?;
    let listening = listener.local_addr().unwrap_or(address).to_string();
    spdlog::info!("listening", kv: { port = "callers", address = listening.as_str() });
    runtime.block_on(async {
        tokio::select! {
            () = server.serve(listener) => {}
            // An error means that the control thread has ended; the daemon ends as well.
            _ = stages.wait_for(|stage| *stage == control::Stage::Done) => {}
        }
    });
    Ok(())
}

/// Starts a thread that forwards signals to the control thread.
fn forward_signals(control: Sender<control::Message>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for _ in signals.forever() {
            if control.send(control::Message::Terminate).is_err() {
                return;
            }
        }
    })?;
    Ok(())
}
