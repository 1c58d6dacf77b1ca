//! Start and end of the daemon.

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
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Longest wait for the store at the end of the process.
const LEAVE_LIMIT: Duration = Duration::from_millis(300);

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
        source: io::Error,
    },
    /// A port is not available.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the port.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

/// Runs the daemon until it is told to stop; `reload` reads the settings file again.
///
/// # Errors
///
/// Fails when a thread, the runtime or a port is not available.
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
    let (name, place) = (&host.name, &host.place);
    let (region, domain) = (place.region(), place.failure_domain());
    let version = env!("CARGO_PKG_VERSION");
    spdlog::info!(
        "start program=jasminetack-edge version={version} host={name} region={region} failure_domain={domain}"
    );
    let dialect = Arc::new(dialect);
    let host = Arc::new(host);
    let (control_sender, control_receiver) = crossbeam_channel::unbounded();
    let view = Arc::new(ArcSwap::from_pointee(view::View::default()));
    let (revision_sender, revision) = watch::channel(0);
    let chooser: Arc<Mutex<dispatch::Chooser>> = Arc::default();
    let metrics = Arc::new(metrics::Metrics::new());
    let (orders, order_jobs) = mpsc::unbounded_channel();
    let (letters, outgoing) = mpsc::unbounded_channel();
    let jobs = control::Writer::start(store.clone(), control_sender.clone());
    let jobs = jobs.context(ThreadSnafu { part: "the writer" })?;
    let feed = |table| {
        let feed = control::Feed::start(store.clone(), table, control_sender.clone());
        feed.context(ThreadSnafu { part: "a feed" })
    };
    let operator_feed = feed(store::Table::Operator)?;
    let workers_feed = feed(store::Table::Workers)?;
    let core = control::Core::new(
        Arc::clone(&dialect),
        control::Identity {
            host: host.name.clone(),
            address: host.peers_address,
            place: host.place.clone(),
        },
        control::LeaseTimes {
            ttl_ms: settings.lease_ttl_ms,
            renewal_ms: settings.lease_renewal_ms,
            guard_ms: host.promises.order_guard_ms,
        },
        control::Publisher::new(Arc::clone(&view), revision_sender),
        control::Outputs { jobs, operator_feed, workers_feed, orders, letters },
        Arc::clone(&chooser),
        Arc::clone(&metrics),
        unix_ms(),
    );
    let actor = control::Actor::new(core);
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control::run(actor, &control_receiver))
        .context(ThreadSnafu { part: "the control thread" })?;
    forward_signals(control_sender.clone(), reload)
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
    );
    let traffic = Arc::new(traffic);
    runtime.block_on(async {
        let datagrams = traffic::DatagramSocket::bind(peers).await;
        let control = control_sender.clone();
        datagrams.context(ListenSnafu { address: peers })?.start(outgoing, control);
        traffic::OrderSender::new(Arc::clone(&traffic)).start(order_jobs);
        for address in [readiness, metrics_address] {
            let port = traffic::HealthServer::new(Arc::clone(&traffic));
            port.start(address).context(ListenSnafu { address })?;
        }
        tokio::spawn(sweep(Arc::clone(&traffic)));
        let listener = traffic::listen(callers).context(ListenSnafu { address: callers })?;
        spdlog::info!("listening callers={callers} readiness={readiness} metrics={metrics_address} peers={peers}");
        traffic::Server::new(traffic).serve(listener).await;
        give_up_lease(&control_sender).await;
        Ok(())
    })?;
    spdlog::info!("stop");
    log::flush();
    Ok(())
}

/// Has the control thread give up the lease, and waits for it for a moment.
async fn give_up_lease(control: &Sender<control::Message>) {
    let (done, left) = oneshot::channel();
    if control.send(control::Message::Leave(done)).is_err() {
        return;
    }
    if time::timeout(LEAVE_LIMIT, left).await.is_err() {
        spdlog::warn!("lease-kept reason=\"the store did not answer\"");
    }
}

async fn sweep<Dialect>(traffic: Arc<traffic::SharedState<Dialect>>) {
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        traffic.pool.close_expired(clock::now_ms());
    }
}

/// Returns the time of day in milliseconds since 1970; a later start of the process on the same host
/// has a higher one.
fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Starts a thread that turns signals into messages.
fn forward_signals<Reload>(control: Sender<control::Message>, reload: Reload) -> io::Result<()>
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
            if control.send(control::Message::Terminate).is_err() {
                return;
            }
        }
    })?;
    Ok(())
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
