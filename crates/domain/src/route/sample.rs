//! Random samples of workers.

use rand::RngExt;

use super::{Fleet, RouteRequest};
use crate::name;

/// Returns whether a worker may serve a request.
fn is_usable(worker: &name::WorkerName, request: &RouteRequest<'_>, fleet: &Fleet) -> bool {
    let Some(view) = fleet.get(worker) else { return false };
    !view.leaving
        && view.owner.is_some()
        && view.base_model == *request.base_model
        && !request.excluded.contains(worker)
}

/// Returns up to `count` distinct usable workers not in `skipped`, starting at a random position.
///
/// The scan stops after `count` usable workers, so it is short when most workers are usable, and
/// complete when few are.
pub(super) fn usable<Random>(
    workers: &[name::WorkerName],
    skipped: &[name::WorkerName],
    count: usize,
    request: &RouteRequest<'_>,
    fleet: &Fleet,
    random: &mut Random,
) -> Vec<name::WorkerName>
where
    Random: rand::Rng,
{
    let mut chosen = Vec::new();
    if workers.is_empty() {
        return chosen;
    }
    let start = random.random_range(0..workers.len());
    // A stride that is coprime to the length visits each worker once in a varying order.
    let stride = coprime_stride(random.random_range(1..=workers.len()), workers.len());
    let mut position = start;
    for _ in 0..workers.len() {
        if chosen.len() >= count {
            break;
        }
        let worker = &workers[position];
        if !skipped.contains(worker) && is_usable(worker, request, fleet) {
            chosen.push(worker.clone());
        }
        position = (position + stride) % workers.len();
    }
    chosen
}

fn coprime_stride(mut stride: usize, length: usize) -> usize {
    while greatest_common_divisor(stride, length) != 1 {
        stride -= 1;
    }
    stride
}

fn greatest_common_divisor(mut left: usize, mut right: usize) -> usize {
    while right != 0 {
        (left, right) = (right, left % right);
    }
    left
}
