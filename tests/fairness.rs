//! The request queue that is fair by workspace.
//!
//! Guards against one workspace starving the others by the number or the cost of
//! its requests, against batch requests that never run or that delay interactive
//! ones, and against requests that are lost or served twice.

use std::time;

use knapweedford::{config, name, policy::queue};
use proptest::{prelude::*, test_runner};

type Queue = queue::FairQueue<u32>;

fn item(workspace: &str, cost: u64, value: u32) -> queue::Item<u32> {
    queue::Item {
        workspace: workspace.into(),
        priority: config::Priority::Interactive,
        cost,
        arrived_at: time::Duration::ZERO,
        cost_ahead: 0,
        deadline: time::Duration::from_secs(10),
        value,
    }
}

fn batch_item(workspace: &str, cost: u64) -> queue::Item<u32> {
    queue::Item { priority: config::Priority::Batch, ..item(workspace, cost, 0) }
}

fn count_served(queue: &mut Queue, count: usize, workspace: &str) -> usize {
    let served = (0..count).filter_map(|_| queue.pop());
    served.filter(|item| item.workspace.as_str() == workspace).count()
}

#[test]
fn small_workspace_first() {
    let mut queue = Queue::new(1000, 10);
    for value in 0..500 {
        queue.push(item("large", 10, value), 1);
    }
    queue.push(item("small", 10, 0), 1);
    assert_eq!(count_served(&mut queue, 2, "small"), 1);
}

#[test]
fn weights_respected() {
    let mut queue = Queue::new(1000, 10);
    for value in 0..200 {
        queue.push(item("a", 10, value), 3);
        queue.push(item("b", 10, value), 1);
    }
    assert_eq!(count_served(&mut queue, 100, "a"), 75);
}

#[test]
fn costs_respected() {
    let mut queue = Queue::new(1000, 10);
    for value in 0..200 {
        queue.push(item("long", 30, value), 1);
        queue.push(item("short", 10, value), 1);
    }
    assert_eq!(count_served(&mut queue, 100, "short"), 75);
}

#[test]
fn order_is_kept() {
    let mut queue = Queue::new(10, 10);
    (0..5).for_each(|value| drop(queue.push(item("a", 10, value), 1)));
    let values: Vec<_> = std::iter::from_fn(|| queue.pop()).map(|item| item.value).collect();
    assert_eq!(values, [0, 1, 2, 3, 4]);
}

#[test]
fn put_back_keeps_place() {
    let mut queue = Queue::new(10, 10);
    for value in 0..3 {
        queue.push(item("a", 10, value), 1);
        queue.push(item("b", 10, 10 + value), 1);
    }
    let first = queue.pop().unwrap();
    queue.put_back(first.clone(), 1);
    assert_eq!(queue.peek(), Some(&first), "the request lost its place");
    assert_eq!(count_served(&mut queue, 4, "a"), 2);
}

#[test]
fn started_request_first() {
    let mut queue = Queue::new(10, 10);
    (0..5).for_each(|value| drop(queue.push(item("a", 10, value), 1)));
    queue.push_started(batch_item("night", 10));
    assert_eq!(queue.pop().unwrap().workspace.as_str(), "night");
    assert_eq!(queue.len(), 5);
}

#[test]
fn batch_share_guaranteed() {
    let mut queue = Queue::new(1000, 10);
    for value in 0..400 {
        queue.push(item("people", 10, value), 1);
        queue.push(batch_item("night", 10), 1);
    }
    let served = count_served(&mut queue, 220, "night");
    assert!(
        (18..=22).contains(&served),
        "{served} of 220 requests at a batch share of 10 percent of interactive"
    );
}

#[test]
fn batch_served_alone() {
    let mut queue = Queue::new(10, 0);
    queue.push(batch_item("night", 10), 1);
    assert_eq!(count_served(&mut queue, 1, "night"), 1);
}

#[test]
fn full_queue_displaces() {
    let mut queue = Queue::new(4, 10);
    (0..4).for_each(|value| drop(queue.push(item("large", 10, value), 1)));
    let queue::PushOutcome::Displaced(old) = queue.push(item("small", 10, 9), 1) else {
        panic!("the small workspace displaced no request");
    };
    assert_eq!((old.workspace.as_str(), old.value), ("large", 3));
    assert!(matches!(queue.push(item("large", 10, 9), 1), queue::PushOutcome::Full(_)));
    assert_eq!(queue.len(), 4);
}

#[test]
fn batch_is_displaced() {
    let mut queue = Queue::new(1, 10);
    queue.push(batch_item("night", 10), 1);
    assert!(matches!(queue.push(item("a", 10, 1), 1), queue::PushOutcome::Displaced(_)));
    assert!(matches!(queue.push(batch_item("night", 10), 1), queue::PushOutcome::Full(_)));
}

#[test]
fn idle_workspaces_dropped() {
    let mut queue = Queue::new(100_000, 10);
    for value in 0..35_000 {
        queue.push(item(&format!("w{value}"), 10, value), 1);
    }
    assert_eq!(queue.active_workspaces(), 35_000);
    while queue.pop().is_some() {}
    queue.push(item("w1", 10, 0), 1);
    queue.pop();
    assert!(
        queue.active_workspaces() <= 1,
        "{} workspaces still have state",
        queue.active_workspaces()
    );
}

#[test]
fn expired_requests_removed() {
    let mut queue = Queue::new(10, 10);
    queue.push(item("a", 10, 1), 1);
    queue.push(queue::Item { deadline: time::Duration::ZERO, ..item("a", 10, 2) }, 1);
    let removed = queue.remove_matching(|item| item.deadline < time::Duration::from_secs(1));
    assert_eq!(removed.iter().map(|item| item.value).collect::<Vec<_>>(), [2]);
    assert_eq!((queue.len(), queue.queued_cost()), (1, 10));
}

#[test]
fn cost_ahead_fair() {
    let mut queue = Queue::new(1000, 10);
    (0..100).for_each(|value| drop(queue.push(item("large", 10, value), 1)));
    let priority = config::Priority::Interactive;
    assert!(queue.cost_ahead(&name::Workspace::from("small"), 1, priority) <= 20);
    assert!(queue.cost_ahead(&name::Workspace::from("large"), 1, priority) >= 1000);
}

fn config() -> test_runner::Config {
    test_runner::Config {
        cases: 200,
        rng_seed: test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// While all workspaces have queued requests, the served cost over the weight differs
    /// between any two of them by at most one request of each.
    #[test]
    fn shares_follow_weights(
        flows in proptest::collection::vec((1..5u32, 1..50u64), 2..6),
        count in 10..200usize,
    ) {
        let mut queue = Queue::new(100_000, 0);
        let name = |index: usize| format!("w{index}");
        for _ in 0..count {
            for (index, (weight, cost)) in flows.iter().enumerate() {
                queue.push(item(&name(index), *cost, 0), *weight);
            }
        }
        let mut served_cost = vec![0u64; flows.len()];
        for _ in 0..count {
            let item = queue.pop().unwrap();
            let index = (0..flows.len())
                .find(|index| item.workspace.as_str() == name(*index))
                .unwrap();
            served_cost[index] += item.cost;
        }
        let share = |index: usize| served_cost[index] as f64 / f64::from(flows[index].0);
        let slack = |index: usize| flows[index].1 as f64 / f64::from(flows[index].0);
        for a in 0..flows.len() {
            for b in 0..flows.len() {
                prop_assert!(share(a) - share(b) <= slack(a) + slack(b) + 0.01);
            }
        }
    }

    /// No queued request is lost or served twice, and the queue's length is exact.
    #[test]
    fn no_request_lost(
        ops in proptest::collection::vec((0..4usize, any::<bool>(), 1..9u64), 1..200),
    ) {
        let mut queue = Queue::new(16, 20);
        let (mut queued, mut value) = (std::collections::BTreeSet::new(), 0);
        for (index, push, cost) in ops {
            value += 1;
            let workspace = format!("w{index}");
            let new = if index % 2 == 0 { item(&workspace, cost, value) } else {
                queue::Item { value, ..batch_item(&workspace, cost) }
            };
            match push {
                true => match queue.push(new, 1) {
                    queue::PushOutcome::Queued => prop_assert!(queued.insert(value)),
                    queue::PushOutcome::Displaced(old) => {
                        prop_assert!(queued.remove(&old.value));
                        queued.insert(value);
                    }
                    queue::PushOutcome::Full(same) => prop_assert_eq!(same.value, value),
                },
                false => match queue.pop() {
                    Some(item) => prop_assert!(queued.remove(&item.value)),
                    None => prop_assert!(queued.is_empty()),
                },
            }
            prop_assert_eq!(queue.len(), queued.len());
        }
    }
}
