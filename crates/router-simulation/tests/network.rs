//! The simulated network and clock by themselves.

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

struct Nobody;

impl Observer for Nobody {
    fn opened(&mut self, _: Time, _: u32, _: Node, _: Node) {}
    fn written(&mut self, _: Time, _: u32, _: Side, _: &[u8]) {}
    fn delivered(&mut self, _: Time, _: u32, _: Side, _: usize) {}
    fn closed(&mut self, _: Time, _: u32, _: Side, _: CloseKind) {}
    fn close_delivered(&mut self, _: Time, _: u32, _: Side) {}
    fn out_of_descriptors(&mut self, _: Time, _: Node) {}
}

fn network(conditions: NetworkConditions, seed: u64) -> (Executor, Network, Node, Node) {
    let executor = Executor::new(SeededRng::new(seed, 1));
    let network = Network::new(
        executor.clone(),
        Rc::new(RefCell::new(Nobody)),
        conditions,
        SeededRng::new(seed, 2),
    );
    let (a, b) = (network.add_machine(0, 100), network.add_machine(1, 100));
    (executor, network, a, b)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Datagrams 0 to 99 go out, one each millisecond: which came, in their order.
fn datagrams(datagrams: DatagramConditions, seed: u64, cut: bool) -> Vec<u8> {
    let (executor, network, a, b) = network(
        NetworkConditions {
            datagrams,
            ..constant_latency_conditions()
        },
        seed,
    );
    if cut {
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
fn datagrams_arrive_in_order_on_a_calm_network() {
    assert_eq!(
        datagrams(DatagramConditions::default(), 1, false),
        (0..100).collect::<Vec<u8>>()
    );
}

#[test]
fn datagrams_are_lost_doubled_and_reordered_as_configured_and_alike_for_a_seed() {
    let lost = datagrams(
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
    let duplicate_ratio = datagrams(
        DatagramConditions {
            duplicate_ratio: 0.3,
            ..DatagramConditions::default()
        },
        1,
        false,
    );
    assert!(duplicate_ratio.len() > 110, "{duplicate_ratio:?}");
    let late = DatagramConditions {
        delayed_ratio: 0.3,
        max_delay: 20_000,
        ..DatagramConditions::default()
    };
    let reordered = datagrams(late, 1, false);
    assert!(
        reordered.len() == 100 && !reordered.is_sorted(),
        "{reordered:?}"
    );
    assert_eq!(reordered, datagrams(late, 1, false));
    assert_ne!(reordered, datagrams(late, 2, false));
}

#[test]
fn datagrams_into_a_cut_zone_are_lost_and_not_late() {
    let received = datagrams(DatagramConditions::default(), 1, true);
    assert_eq!(received, (50..100).collect::<Vec<u8>>());
}

#[test]
fn an_address_is_bound_once_and_free_again_after_its_socket() {
    let (executor, network, a, _) = network(constant_latency_conditions(), 1);
    let (environment, checked) = (network.environment(a), Rc::new(RefCell::new(false)));
    let done = checked.clone();
    executor.spawn(a, async move {
        let first = environment.bind(address(1)).await.expect("free");
        assert!(environment.bind(address(1)).await.is_err());
        assert!(
            first.send_to(&[0; 65_508], address(2)).await.is_err(),
            "too long for UDP"
        );
        drop(first);
        assert!(environment.bind(address(1)).await.is_ok());
        *done.borrow_mut() = true;
    });
    executor.run_until(1_000);
    assert!(*checked.borrow());
}

/// What a connection's dialer reads, when, after its listener was treated like this.
fn read_after(
    treat: impl Fn(&Network, Node) + 'static,
) -> Vec<(Time, Result<usize, std::io::ErrorKind>)> {
    let (executor, network, a, b) = network(constant_latency_conditions(), 1);
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
    let treated = network.clone();
    executor.call_at(10_000, move || treat(&treated, b));
    executor.run_until(5_000_000);
    executor.end();
    seen.borrow().clone()
}

#[test]
fn a_process_that_dies_resets_its_connections_and_a_machine_that_vanishes_says_nothing() {
    let dies = read_after(|network, node| network.kill(node, false));
    assert_eq!(
        dies,
        [
            (2 * LATENCY, Ok(5)),
            (10_000 + LATENCY, Err(std::io::ErrorKind::ConnectionReset))
        ]
    );
    let vanishes = read_after(|network, node| network.kill(node, true));
    assert_eq!(vanishes, [(2 * LATENCY, Ok(5))]);
}

#[test]
fn connects_are_refused_without_a_process_and_never_come_up_without_a_machine() {
    for vanishes in [false, true] {
        let (executor, network, a, b) = network(constant_latency_conditions(), 1);
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
fn what_is_due_in_one_instant_comes_in_an_order_that_the_seed_draws() {
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
fn a_killed_process_runs_no_further() {
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
