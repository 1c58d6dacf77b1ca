//! Measures the time of a routing decision at the fleet size planned for two years ahead.
//!
//! Run with `cargo run --release -p jasminetack-domain --example route_cost`; it fails when the mean
//! or the 99th percentile is 20 us or more.

use std::process::ExitCode;
use std::time::Instant;

use indexmap::IndexSet;
use jasminetack_domain::adapter;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::route;
use jasminetack_domain::route::Policy;
use rand::{RngExt, SeedableRng};

const ADAPTERS: u32 = 44_000;
const WORKERS: u32 = 850;
const BASE_MODELS: u32 = 5;
const REGIONS: u32 = 2;
const FAILURE_DOMAINS: u32 = 4;
const SLOTS: usize = 16;
const BATCH_PLACES: u32 = 16;
const DECISIONS: u32 = 200_000;
const LIMIT_US: f64 = 20.0;

fn adapter_ref(index: u32) -> adapter::AdapterRef {
    adapter::AdapterRef::new(name::AdapterName::from(format!("adapter-{index}")), 1)
}

fn base_model(index: u32) -> name::BaseModelName {
    name::BaseModelName::from(format!("base-{}", index % BASE_MODELS))
}

fn locality_of(index: u32) -> locality::Locality {
    let region = name::RegionName::from(format!("region-{}", index % REGIONS));
    let domain = format!("domain-{}", index / REGIONS % FAILURE_DOMAINS);
    locality::Locality::new(region, name::FailureDomainName::from(domain))
}

/// Draws an adapter index as the cube of a uniform value, so low indices are the most popular.
fn popular(random: &mut rand_pcg::Pcg64Mcg) -> u32 {
    let uniform: f64 = random.random();
    (uniform.powi(3) * f64::from(ADAPTERS)) as u32
}

fn build_fleet(random: &mut rand_pcg::Pcg64Mcg) -> route::Fleet {
    let mut fleet = route::Fleet::default();
    for index in 0..WORKERS {
        let mut loaded = IndexSet::new();
        while loaded.len() < SLOTS {
            let candidate = popular(random);
            // Each adapter extends the base model of its index.
            loaded.insert(adapter_ref(candidate - candidate % BASE_MODELS + index % BASE_MODELS));
        }
        fleet.insert(route::WorkerView {
            name: name::WorkerName::from(format!("worker-{index}")),
            locality: locality_of(index / BASE_MODELS),
            base_model: base_model(index),
            owner: Some(name::HostName::from(format!("entry-{}", index % 400))),
            loaded,
            outstanding: 0,
            leaving: index % 97 == 0,
        });
    }
    fleet
}

fn main() -> ExitCode {
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    let fleet = build_fleet(&mut random);
    let mut observations = route::Observations::default();
    for worker in fleet.iter() {
        observations.record_sent(&worker.name);
        observations.apply_report(&worker.name, random.random_range(1..24), 0);
        let latencies = observations.latencies_mut();
        latencies.record_first_token(&worker.name, &worker.base_model, 100.0, 0);
        latencies.record_between_tokens(&worker.name, &worker.base_model, 20.0, 0);
    }
    let adapters: Vec<_> = (0..ADAPTERS).map(adapter_ref).collect();
    let policy = route::Scored::new(BATCH_PLACES);
    let from = locality_of(0);
    let mut times_us = Vec::with_capacity(DECISIONS as usize);
    let mut holder_count = 0;
    for step in 0..DECISIONS {
        let index = popular(&mut random);
        let base = base_model(index);
        let adapter = &adapters[index as usize];
        let request =
            route::RouteRequest { adapter, base_model: &base, from: &from, excluded: &[] };
        holder_count += fleet.holders(adapter).len();
        let now_ms = u64::from(step / 100);
        let started = Instant::now();
        let decision = policy.choose(&request, &fleet, &mut observations, &mut random, now_ms);
        times_us.push(started.elapsed().as_secs_f64() * 1e6);
        assert!(decision.is_some(), "no worker was chosen for adapter-{index}");
    }
    times_us.sort_by(f64::total_cmp);
    let mean = times_us.iter().sum::<f64>() / f64::from(DECISIONS);
    let p99 = times_us[times_us.len() * 99 / 100];
    println!(
        "adapters={ADAPTERS} workers={WORKERS} decisions={DECISIONS} mean_holders={:.1} \
         mean_us={mean:.2} p50_us={:.2} p99_us={p99:.2} max_us={:.2}",
        holder_count as f64 / f64::from(DECISIONS),
        times_us[times_us.len() / 2],
        times_us[times_us.len() - 1],
    );
    if mean < LIMIT_US && p99 < LIMIT_US { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
