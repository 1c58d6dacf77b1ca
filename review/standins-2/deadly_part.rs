//! Cases 7 and 9: a part of prompts crashes each worker that begins to write an answer on it.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::Client;
use crate::fleet::Daemon;
use crate::model_worker::{DEADLY_PART, Framing, ModelWorker};
use crate::random::Random;
use crate::record::Record;
use crate::store::Store;

const PLACE: (&str, &str) = ("z-a", "r-a");
const DAEMONS: usize = 3;
/// Bounds as those of ramdeen-cues.
const BOUNDS: &str = "Contracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"fleet\", \
\"stream\", \"engine\", \"platform\"]\n[Zones]\nz-a = \"r-a\"\n\
[Bounds]\nDrainMs = 2500\nGraceS = 8\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 56\n\
LeaseMs = 3000\nContactMs = 4000\n";
const CONFIGURATION: &str = "{\"Version\":3,\"Routes\":[{\"Name\":\"r-draft\",\"Host\":\"h.example\",\
\"Prefix\":\"/draft/\",\"Type\":\"streaming\",\"TimeoutMs\":10000,\"GoalMs\":1000,\"Priority\":0,\
\"Service\":\"llm\",\"MaxAttempts\":1,\"Sticky\":true,\"Resumable\":false,\"GapGoalMs\":400}],\
\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":620,\"Engine\":{\"Slots\":128,\
\"KvCapacity\":151716,\"WeightsMb\":36000.0,\"MaxAdapters\":18,\"LoadsPerS\":3.0,\"Models\":[{\"Name\":\"base\",\
\"WeightsMb\":34300.0,\"LoadTimeS\":2.7,\"Adapters\":3000,\"AdapterSizeMb\":40.0}]}}],\
\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
/// Time between two sound requests of all clients together; the site has 90 streams a second.
const SOUND_INTERVAL: Duration = Duration::from_millis(11);
/// First parts of the prompts, and parts that follow on them.
const FIRST_PARTS: u64 = 3;
const SECOND_PARTS: u64 = 332;
/// For how long a worker is down that crashes for another reason.
const OTHER_DOWN: Duration = Duration::from_millis(3_100);
/// Time after the fifth crash from which requests with the part count, and how many are allowed.
const CONTACT_S: f64 = 4.0;
const ALLOWED: usize = 3;

/// Load and trouble of one case.
pub struct Plan {
    workers: usize,
    /// How the workers end their answers.
    framing: Framing,
    /// Time between two requests with the deadly part.
    deadly_interval: Duration,
    /// Time between two crashes of one worker for another reason, if there are any.
    other_interval: Option<Duration>,
    run: Duration,
}

/// Case 9: few requests with the part, and workers that crash for other reasons as well.
pub const BESIDE_OTHER_CRASHES: Plan = Plan {
    workers: 4,
    framing: Framing::Chunked,
    deadly_interval: Duration::from_millis(8_000),
    other_interval: Some(Duration::from_millis(3_500)),
    run: Duration::from_secs(96),
};

/// Case 7: answers end with their connection.
pub const ANSWERS_WITHOUT_LENGTH: Plan = Plan {
    workers: 6,
    framing: Framing::UntilClose,
    deadly_interval: Duration::from_millis(2_000),
    other_interval: None,
    run: Duration::from_secs(45),
};

/// Plays a case.
pub fn play(folder: &Path, record: &Arc<Record>, has_trouble: bool, plan: &Plan) -> Outcome {
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let workers: Vec<_> = (0..plan.workers)
        .map(|index| {
            ModelWorker::start(&format!("i-{index:04x}"), PLACE.0, plan.framing, &store, record)
        })
        .collect();
    let daemons: Vec<_> = (0..DAEMONS)
        .map(|index| Daemon::start(folder, index, PLACE, store.address, BOUNDS))
        .collect();
    if !daemons.iter().all(Daemon::wait_until_ready) {
        return Outcome::NotRun("a daemon did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    // Time of sending of each request with the part, and its status.
    let deadly: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let served: Arc<Mutex<(usize, usize)>> = Arc::default();
    let started = Instant::now();
    let (mut next_deadly, mut next_other) = (Duration::from_secs(6), Duration::from_secs(8));
    let mut random = Random::new(20_261_206);
    let mut number = 0_usize;
    while started.elapsed() < plan.run {
        number += 1;
        let is_deadly = has_trouble && started.elapsed() >= next_deadly;
        let second = if is_deadly {
            next_deadly += plan.deadly_interval;
            DEADLY_PART.to_owned()
        } else {
            format!("b{:x}", random.below(SECOND_PARTS))
        };
        let first = if is_deadly { 1 } else { random.below(FIRST_PARTS) };
        let daemon = daemons[random.below(DAEMONS as u64)].callers;
        let id = format!("s{number:06x}");
        let request = format!(
            "POST /draft/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 10000\r\n\
             Model: base\r\nToken-Count: 491,70\r\nPrompt-Prefix: a{first}:93,{second}:62,c{number:06x}:336\r\n\
             Content-Length: 0\r\n\r\n"
        );
        if is_deadly {
            record.line(&format!("send-deadly id={id} to={}", daemon.ip()));
            deadly.lock().expect("the requests").push((id.clone(), record.seconds()));
        }
        let (record, served) = (Arc::clone(record), Arc::clone(&served));
        thread::spawn(move || {
            let response = Client::new(daemon).send(&request, Duration::from_secs(12));
            let status = response.map_or(0, |response| response.status());
            if is_deadly {
                record.line(&format!("answer-deadly id={id} status={status}"));
                return;
            }
            let mut served = served.lock().expect("the answers");
            served.0 += 1;
            served.1 += usize::from(status == 200);
            if status != 200 {
                record.line(&format!("answer id={id} status={status}"));
            }
        });
        if let Some(interval) = plan.other_interval
            && has_trouble
            && started.elapsed() >= next_other
        {
            next_other += interval;
            workers[number % plan.workers].crash("other", OTHER_DOWN);
        }
        thread::sleep(SOUND_INTERVAL);
    }
    thread::sleep(Duration::from_secs(3));
    record.flush();
    judge(record, &deadly.lock().expect("the requests"), &served.lock().expect("the answers"))
}

/// Counts the requests with the part that reached workers, sent later than the bound after the fifth crash.
fn judge(record: &Record, deadly: &[(String, f64)], served: &(usize, usize)) -> Outcome {
    let text = record.read();
    let times = |prefix: &str| -> Vec<(f64, String)> {
        let lines = text.lines().filter_map(|line| line.split_once(' '));
        let lines = lines.filter(|(_, rest)| rest.starts_with(prefix));
        lines.map(|(at, rest)| (at.parse().unwrap_or(0.0), rest.to_owned())).collect()
    };
    let crashes: Vec<f64> = times("crash ")
        .into_iter()
        .filter(|(_, rest)| rest.ends_with("reason=deadly"))
        .map(|(at, _)| at)
        .collect();
    let others = times("crash ").len() - crashes.len();
    let arrivals = times("deadly-arrives ");
    let from_s = crashes.get(4).map_or(f64::INFINITY, |fifth| fifth + CONTACT_S);
    let has_arrived =
        |id: &str| arrivals.iter().any(|(_, rest)| rest.ends_with(&format!("id={id}")));
    let late: Vec<_> = deadly
        .iter()
        .filter(|(id, sent)| *sent > from_s && has_arrived(id))
        .map(|(id, _)| id)
        .collect();
    let summary = format!(
        "deadly_requests={} deadly_crashes={} other_crashes={others} counted={} allowed={ALLOWED} \
         sound_requests={} sound_served={} {late:?}",
        deadly.len(),
        crashes.len(),
        late.len(),
        served.0,
        served.1
    );
    if late.len() > ALLOWED { Outcome::Broken(summary) } else { Outcome::Held(summary) }
}
