//! Startup and shutdown of the daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use crossbeam_channel::Sender;
use jasminetack_domain::dispatch;
use jasminetack_program::log;
use parking_lot::Mutex;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use signal_hook::low_level;
use snafu::ResultExt;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time;

use crate::clock;
use crate::control;
use crate::dialect;
use crate::host;
use crate::metrics;
use crate::settings;
use crate::store;
use crate::traffic;
use crate::view;

/// Interval of closing idle connections to workers.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum time to wait at shutdown until the lease has been released.
const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time before the end of the grace period at which a shutdown that has not finished is abandoned.
const FORCED_EXIT_RESERVE_MS: u64 = 400;

/// Exit code of an abandoned shutdown.
const FORCED_EXIT_CODE: i32 = 3;

/// Errors of starting the daemon.
#[derive(Debug, snafu::Snafu)]
pub enum StartError {
    /// The logger could not be created.
    #[snafu(display("cannot start logging: {source}"))]
    Log {
        /// Cause.
        source: spdlog::Error,
    },
    /// A thread or the runtime could not be started.
    #[snafu(display("cannot start {part}: {source}"))]
    Thread {
        /// Name of what was being started.
        part: &'static str,
        /// Cause.
        source: io::Error,
    },
    /// The daemon cannot listen on an address.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

/// Runs the daemon until it is terminated; `reload` reads the settings file again.
///
/// # Errors
///
/// Fails if a thread or the runtime cannot be started, or an address is not available.
pub fn run<Dialect, Store, Reload>(
    settings: &settings::Settings,
    host: host::Host,
    dialect: Dialect,
    store: Store,
    reload: Reload,
) -> Result<(), StartError>
where
    Dialect: dialect::Dialect,
    Store: store::MetadataStore,
    Reload: Fn() -> host::Reload + Send + 'static,
{
    log::start_non_blocking(settings.log_level).context(LogSnafu)?;
    let (name, locality) = (&host.name, &host.locality);
    let (region, domain) = (locality.region(), locality.failure_domain());
    let version = env!("CARGO_PKG_VERSION");
    spdlog::info!(
        "start program=jasminetack-edge version={version} host={name} region={region} failure_domain={domain}"
    );
    let dialect = Arc::new(dialect);
    let uses_slot_credits = host.uses_slot_credits || settings.slot_credits;
    let host = Arc::new(host::Host { uses_slot_credits, ..host });
    let (control_sender, control_receiver) = crossbeam_channel::unbounded();
    let view = Arc::new(ArcSwap::from_pointee(view::View::default()));
    let (revision_sender, revision) = watch::channel(0);
    let chooser: Arc<Mutex<dispatch::Chooser>> = Arc::default();
    let metrics = Arc::new(metrics::Metrics::new());
    let (worker_jobs, worker_job_receiver) = mpsc::unbounded_channel();
    let (datagrams, outgoing_datagrams) = mpsc::unbounded_channel();
    let store = store::MeteredStore::new(store, Arc::clone(&metrics));
    let store_jobs = control::Writer::start(store.clone(), control_sender.clone());
    let store_jobs = store_jobs.context(ThreadSnafu { part: "the writer" })?;
    let feed = |table| {
        let feed = control::Feed::start(store.clone(), table, control_sender.clone());
        feed.context(ThreadSnafu { part: "a feed" })
    };
    let operator_reads = feed(store::Table::Operator)?;
    let workers_reads = feed(store::Table::Workers)?;
    let state = control::ControlState::new(
        Arc::clone(&dialect),
        control::Identity {
            host: host.name.clone(),
            address: host.peers_address,
            locality: host.locality.clone(),
        },
        control::LeaseTimes {
            ttl_ms: settings.lease_ttl_ms,
            renewal_ms: settings.lease_renewal_ms,
            guard_ms: host.limits.order_guard_ms,
        },
        control::Publisher::new(Arc::clone(&view), revision_sender),
        control::Outputs { store_jobs, operator_reads, workers_reads, worker_jobs, datagrams },
        Arc::clone(&chooser),
        Arc::clone(&metrics),
        unix_ms(),
        clock::now_ms(),
    )
    .with_quota_bounds(host.limits.quota);
    let team_tokens = Arc::clone(state.team_tokens());
    let actor = control::Actor::new(state);
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control::run(actor, &control_receiver))
        .context(ThreadSnafu { part: "the control thread" })?;
    forward_signals(control_sender.clone(), host.limits.grace_ms, reload)
        .context(ThreadSnafu { part: "the signal thread" })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(ThreadSnafu { part: "the traffic runtime" })?;
    let (callers, readiness) = (host.callers_address, host.readiness_address);
    let peers = host.peers_address;
    let metrics_address = SocketAddr::new(host.ip, settings.metrics_port);
    let traffic = traffic::SharedState::new(
        dialect,
        host,
        view,
        revision,
        chooser,
        control_sender.clone(),
        metrics,
        team_tokens,
    );
    let traffic = Arc::new(traffic);
    runtime.block_on(async {
        let datagrams = traffic::DatagramSocket::bind(peers).await;
        let control = control_sender.clone();
        datagrams.context(ListenSnafu { address: peers })?.start(outgoing_datagrams, control);
        traffic::OrderSender::new(Arc::clone(&traffic)).start(worker_job_receiver);
        for address in [readiness, metrics_address] {
            let port = traffic::HealthServer::new(Arc::clone(&traffic));
            port.start(address).context(ListenSnafu { address })?;
        }
        tokio::spawn(close_idle_connections(Arc::clone(&traffic)));
        if traffic.host.limits.ends_revoked_answers {
            tokio::spawn(traffic::end_revoked_answers(Arc::clone(&traffic)));
        }
        let listener = traffic::listen(callers).context(ListenSnafu { address: callers })?;
        spdlog::info!("listening callers={callers} readiness={readiness} metrics={metrics_address} peers={peers}");
        traffic::Server::new(traffic).serve(listener).await;
        release_lease(&control_sender).await;
        Ok(())
    })?;
    spdlog::info!("stop");
    log::flush();
    // Connections of callers and workers that are still open need not be closed in order.
    runtime.shutdown_background();
    Ok(())
}

/// Releases the lease through the control thread; waits at most `LEASE_RELEASE_TIMEOUT`.
async fn release_lease(control: &Sender<control::Message>) {
    let (done, released) = oneshot::channel();
    if control.send(control::Message::ReleaseLease(done)).is_err() {
        return;
    }
    if time::timeout(LEASE_RELEASE_TIMEOUT, released).await.is_err() {
        spdlog::warn!("lease-kept reason=\"the store did not answer\"");
    }
}

async fn close_idle_connections<Dialect>(shared: Arc<traffic::SharedState<Dialect>>) {
    loop {
        time::sleep(IDLE_SWEEP_INTERVAL).await;
        shared.pool.close_expired(clock::now_ms());
    }
}

/// Returns the milliseconds since the Unix epoch; a restarted process on the same host gets a higher
/// value than its predecessor.
fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Starts a thread that forwards termination signals to the control thread and, on SIGHUP, logs
/// whether the settings file has changed.
///
/// The process exits at the end of the grace period even if a step of the shutdown hangs.
fn forward_signals<Reload>(
    control: Sender<control::Message>,
    grace_ms: u64,
    reload: Reload,
) -> io::Result<()>
where
    Reload: Fn() -> host::Reload + Send + 'static,
{
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                log_reload(&reload());
                continue;
            }
            if control.send(control::Message::Shutdown).is_err() {
                return;
            }
            thread::spawn(move || exit_at_deadline(grace_ms));
        }
    })?;
    Ok(())
}

/// Ends the process shortly before the end of the grace period, after which it would be killed.
fn exit_at_deadline(grace_ms: u64) {
    thread::sleep(Duration::from_millis(grace_ms.saturating_sub(FORCED_EXIT_RESERVE_MS)));
    spdlog::error!("exit-forced reason=\"the shutdown did not finish within the grace period\"");
    log::flush();
    low_level::exit(FORCED_EXIT_CODE);
}

fn log_reload(reload: &host::Reload) {
    match reload {
        host::Reload::Unchanged => spdlog::info!("reload outcome=unchanged"),
        host::Reload::NeedsRestart(values) => {
            let values = values.join("; ");
            spdlog::warn!("reload outcome=needs-restart values=\"{values}\"");
        }
        host::Reload::Refused(problem) => {
            spdlog::error!("reload outcome=last-good-stays problem={problem:?}");
        }
    }
}
