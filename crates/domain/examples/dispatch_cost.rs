//! Measures the decision times of the edge daemon by fleet size; see docs/CAPACITY.md.
//!
//! Run with `cargo run --release -p jasminetack-domain --example dispatch_cost`.

use std::time::Instant;

use jasminetack_domain::adapter;
use jasminetack_domain::dispatch;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_domain::upstream;

const ROUNDS: u32 = 2_000;
const MIN_IDLE_MS: u64 = 600;
const FLEET: placement::FleetLoads = placement::FleetLoads {
    others_in_flight: 0,
    limit: 8,
    may_load_base_model: true,
    other_base_loads: 0,
};
const MICROSECONDS: f64 = 1e6;

fn worker(index: usize) -> upstream::Upstream {
    upstream::Upstream {
        name: name::WorkerName::from(format!("i-{index:010}")),
        service: name::ServiceName::from("llm"),
        address: ([127, 0, 0, 1], 80).into(),
        locality: locality::Locality::new(
            name::RegionName::from(format!("r{}", index % 2)),
            name::FailureDomainName::from(format!("d{}", index % 4)),
        ),
        slots: 32,
        is_draining: false,
        started_unix_ms: 1,
        base_models: Vec::new(),
        adapters: Vec::new(),
    }
}

fn measure<Step>(rounds: u32, mut step: Step) -> f64
where
    Step: FnMut(u32),
{
    let began = Instant::now();
    for round in 0..rounds {
        step(round);
    }
    began.elapsed().as_secs_f64() * MICROSECONDS / f64::from(rounds)
}

fn choice_us(workers: usize, daemons: usize) -> f64 {
    let workers: Vec<_> = (0..workers).map(worker).collect();
    let mut chooser = dispatch::Chooser::default();
    for daemon in 0..daemons {
        let loads = workers.iter().skip(daemon % 7).step_by(7);
        let loads = loads.map(|worker| dispatch::ReportedLoad {
            worker: worker.name.clone(),
            in_flight: 1,
            unread_tokens: 500,
            memory_tokens: 700,
        });
        let host = name::HostName::from(format!("edge-{daemon}"));
        chooser.loads.apply_report(&host, loads.collect(), 0, 0);
    }
    let candidates: Vec<_> = workers
        .iter()
        .map(|upstream| dispatch::Candidate {
            upstream,
            adapter: dispatch::AdapterState::Absent { waiting_loads: 0, wait_ms: 0 },
        })
        .collect();
    let from = workers[0].locality.clone();
    let host = name::HostName::from("edge-0");
    measure(ROUNDS, |round| {
        let adapter = name::AdapterName::from(format!("m/a{round}"));
        let choice = dispatch::ChoiceRequest {
            host: &host,
            from: &from,
            adapter: Some(&adapter),
            parts: &[],
            size: dispatch::RequestSize { prompt_tokens: 600, answer_tokens: 70 },
            memory_capacity_tokens: Some(150_000),
            loading_worker: None,
            excluded: &[],
            permit: None,
            max_permit_wait_ms: 700,
            only_limited: false,
        };
        chooser.choose(&choice, &candidates, u64::from(round));
    })
}

fn report_us(workers: usize) -> f64 {
    let mut loads = dispatch::Loads::default();
    let reports: Vec<_> = (0..workers)
        .map(|index| dispatch::ReportedLoad {
            worker: worker(index).name,
            in_flight: 1,
            unread_tokens: 500,
            memory_tokens: 700,
        })
        .collect();
    let host = name::HostName::from("edge");
    measure(ROUNDS, |round| loads.apply_report(&host, reports.clone(), u64::from(round), 0))
}

fn plan_us(slots: usize) -> f64 {
    let limits =
        placement::Limits { adapter_capacity: slots, base_model: name::BaseModelName::from("m") };
    let held: Vec<_> = (0..slots)
        .map(|index| adapter::AdapterRef::new(name::AdapterName::from(format!("m/h{index}")), 1))
        .collect();
    let reported = placement::WorkerState {
        has_base_model: true,
        resident: held,
        ..placement::WorkerState::default()
    };
    let unrecorded = placement::UnrecordedOrders::default();
    let mut placement = placement::Placement::new(limits, &reported, unrecorded, 0);
    measure(ROUNDS, |round| {
        let now_ms = 10_000 + u64::from(round);
        let adapter = name::AdapterName::from(format!("m/w{}", round % 16));
        placement.add_demand(&adapter::AdapterRef::new(adapter, 0), true, now_ms);
        while let Some(planned) = placement.plan(FLEET, MIN_IDLE_MS, now_ms) {
            placement.apply_order_result(&planned.order, placement::OrderResult::Applied, now_ms);
        }
    })
}

fn main() {
    println!("workers,daemons,choice_us,report_us");
    for (workers, daemons) in [(9, 9), (90, 90), (300, 150), (850, 400)] {
        let (choice, report) = (choice_us(workers, daemons), report_us(workers));
        println!("{workers},{daemons},{choice:.2},{report:.2}");
    }
    println!("places,plan_us");
    for slots in [7, 18, 64] {
        println!("{slots},{:.2}", plan_us(slots));
    }
}
