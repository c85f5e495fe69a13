//! Tests of the simulated network and the executor without a router.

use router_runtime::environment::{DatagramSocket, Environment};
use router_simulation::executor::{Executor, Node, Time};
use router_simulation::network::{
    CloseKind, DatagramConditions, Network, NetworkConditions, Observer, Side,
};
use router_simulation::rng::SeededRng;
use router_simulation::scenario::{LATENCY, constant_latency_conditions};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

struct NoopObserver;

impl Observer for NoopObserver {
    fn opened(&mut self, _: Time, _: u32, _: Node, _: Node) {}
    fn written(&mut self, _: Time, _: u32, _: Side, _: &[u8]) {}
    fn delivered(&mut self, _: Time, _: u32, _: Side, _: usize) {}
    fn closed(&mut self, _: Time, _: u32, _: Side, _: CloseKind) {}
    fn close_delivered(&mut self, _: Time, _: u32, _: Side) {}
    fn descriptor_limit_reached(&mut self, _: Time, _: Node) {}
}

fn new_network(conditions: NetworkConditions, seed: u64) -> (Executor, Network, Node, Node) {
    let executor = Executor::new(SeededRng::new(seed, 1));
    let network = Network::new(
        executor.clone(),
        Rc::new(RefCell::new(NoopObserver)),
        conditions,
        SeededRng::new(seed, 2),
    );
    let (a, b) = (network.add_machine(0, 100), network.add_machine(1, 100));
    (executor, network, a, b)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Sends datagrams 0 to 99 at intervals of one millisecond, and returns the received ones in order
/// of arrival. If the receiver's zone is isolated, it is so for the first 50 ms.
fn received_datagrams(conditions: DatagramConditions, seed: u64, is_isolated: bool) -> Vec<u8> {
    let (executor, network, a, b) = new_network(
        NetworkConditions {
            datagrams: conditions,
            ..constant_latency_conditions()
        },
        seed,
    );
    if is_isolated {
        network.isolate_zone(1, 50_000);
    }
    let received = Rc::new(RefCell::new(Vec::new()));
    let (to, from, sink) = (
        network.environment(b),
        network.environment(a),
        received.clone(),
    );
    executor.spawn(b, async move {
        let socket = to.bind(address(1)).await.expect("a free address");
        let mut buffer = [0; 8];
        while let Ok((count, sender)) = socket.receive(&mut buffer).await {
            assert_eq!((count, sender), (1, address(2)));
            sink.borrow_mut().push(buffer[0]);
        }
    });
    executor.run_until(1);
    let clock = executor.clone();
    executor.spawn(a, async move {
        let socket = from.bind(address(2)).await.expect("a free address");
        for number in 0..100 {
            socket.send_to(&[number], address(1)).await.expect("sent");
            clock.sleep(1_000).await;
        }
    });
    executor.run_until(1_000_000);
    executor.end();
    received.borrow().clone()
}

#[test]
fn datagrams_arrive_in_order_without_jitter_or_loss() {
    assert_eq!(
        received_datagrams(DatagramConditions::default(), 1, false),
        (0..100).collect::<Vec<u8>>()
    );
}

#[test]
fn datagrams_are_lost_duplicated_and_reordered_as_configured_and_deterministically() {
    let lost = received_datagrams(
        DatagramConditions {
            loss_ratio: 0.3,
            ..DatagramConditions::default()
        },
        1,
        false,
    );
    assert!(
        lost.len() < 90 && lost.len() > 40 && lost.is_sorted(),
        "{lost:?}"
    );
    let duplicated = received_datagrams(
        DatagramConditions {
            duplicate_ratio: 0.3,
            ..DatagramConditions::default()
        },
        1,
        false,
    );
    assert!(duplicated.len() > 110, "{duplicated:?}");
    let delayed = DatagramConditions {
        delayed_ratio: 0.3,
        max_delay: 20_000,
        ..DatagramConditions::default()
    };
    let reordered = received_datagrams(delayed, 1, false);
    assert!(
        reordered.len() == 100 && !reordered.is_sorted(),
        "{reordered:?}"
    );
    assert_eq!(reordered, received_datagrams(delayed, 1, false));
    assert_ne!(reordered, received_datagrams(delayed, 2, false));
}

#[test]
fn datagrams_to_an_isolated_zone_are_dropped_and_not_delayed() {
    let received = received_datagrams(DatagramConditions::default(), 1, true);
    assert_eq!(received, (50..100).collect::<Vec<u8>>());
}

#[test]
fn a_bound_address_is_in_use_until_its_socket_is_dropped() {
    let (executor, network, a, _) = new_network(constant_latency_conditions(), 1);
    let (environment, checked) = (network.environment(a), Rc::new(RefCell::new(false)));
    let done = checked.clone();
    executor.spawn(a, async move {
        let first = environment.bind(address(1)).await.expect("free");
        assert!(environment.bind(address(1)).await.is_err());
        assert!(
            first.send_to(&[0; 65_508], address(2)).await.is_err(),
            "a payload over the UDP limit was sent"
        );
        drop(first);
        assert!(environment.bind(address(1)).await.is_ok());
        *done.borrow_mut() = true;
    });
    executor.run_until(1_000);
    assert!(*checked.borrow());
}

/// Injects a fault at the acceptor of a connection after 10 ms. Returns the results of the
/// initiator's reads and their times.
fn reads_after_fault(
    inject_fault: impl Fn(&Network, Node) + 'static,
) -> Vec<(Time, Result<usize, std::io::ErrorKind>)> {
    let (executor, network, a, b) = new_network(constant_latency_conditions(), 1);
    let listener = network.listen(b, address(1));
    executor.spawn(b, async move {
        let mut stream = listener.accept().await.expect("a connection");
        stream.write_all(b"hello").await.expect("written");
        std::future::pending::<()>().await;
    });
    let seen = Rc::new(RefCell::new(Vec::new()));
    let (to, environment, clock) = (seen.clone(), network.environment(a), executor.clone());
    executor.spawn(a, async move {
        let mut stream = environment.connect(address(1)).await.expect("connected");
        let mut buffer = [0; 16];
        loop {
            let read = stream.read(&mut buffer).await.map_err(|error| error.kind());
            to.borrow_mut().push((clock.now(), read));
            if !matches!(read, Ok(1..)) {
                return;
            }
        }
    });
    let faulty_network = network.clone();
    executor.call_at(10_000, move || inject_fault(&faulty_network, b));
    executor.run_until(5_000_000);
    executor.end();
    seen.borrow().clone()
}

#[test]
fn a_killed_process_resets_its_connections_and_a_vanished_machine_sends_nothing() {
    let killed = reads_after_fault(|network, node| network.kill(node, false));
    assert_eq!(
        killed,
        [
            (2 * LATENCY, Ok(5)),
            (10_000 + LATENCY, Err(std::io::ErrorKind::ConnectionReset))
        ]
    );
    let vanished = reads_after_fault(|network, node| network.kill(node, true));
    assert_eq!(vanished, [(2 * LATENCY, Ok(5))]);
}

#[test]
fn connects_are_refused_without_a_process_and_unanswered_without_a_machine() {
    for vanishes in [false, true] {
        let (executor, network, a, b) = new_network(constant_latency_conditions(), 1);
        let listener = network.listen(b, address(1));
        executor.spawn(b, async move {
            let _ = listener.accept().await;
        });
        executor.run_until(10);
        network.kill(b, vanishes);
        let (environment, ended, clock) = (
            network.environment(a),
            Rc::new(RefCell::new(None)),
            executor.clone(),
        );
        let to = ended.clone();
        executor.spawn(a, async move {
            let rejected = environment.connect(address(1)).await.is_err();
            *to.borrow_mut() = Some((clock.now(), rejected));
        });
        executor.run_until(60_000_000);
        let expected = if vanishes {
            None
        } else {
            Some((10 + 2 * LATENCY, true))
        };
        assert_eq!(*ended.borrow(), expected);
        executor.end();
    }
}

#[test]
fn timers_due_at_the_same_time_fire_in_an_order_determined_by_the_seed() {
    let order = |seed| {
        let executor = Executor::new(SeededRng::new(seed, 1));
        let seen = Rc::new(RefCell::new(Vec::new()));
        for number in 0..6 {
            let (clock, to) = (executor.clone(), seen.clone());
            executor.spawn(Node(0), async move {
                clock.sleep_until(1_000).await;
                to.borrow_mut().push(number);
            });
        }
        executor.run_until(2_000);
        seen.borrow().clone()
    };
    assert_eq!(order(1), order(1));
    assert!((2..20).any(|seed| order(seed) != order(1)));
}

#[test]
fn tasks_of_a_killed_process_stop() {
    let executor = Executor::new(SeededRng::new(1, 1));
    let count = Rc::new(RefCell::new(0));
    for node in [Node(0), Node(1)] {
        let (clock, to) = (executor.clone(), count.clone());
        executor.spawn(node, async move {
            loop {
                clock.sleep(1_000).await;
                *to.borrow_mut() += 1;
            }
        });
    }
    executor.run_until(10_500);
    executor.kill(Node(0));
    executor.run_until(20_500);
    assert_eq!(*count.borrow(), 10 + 20);
    executor.end();
}
