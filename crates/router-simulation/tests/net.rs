//! The simulated network and clock by themselves.

use router_runtime::environment::{DatagramSocket, Environment};
use router_simulation::executor::{Exec, Node, Time};
use router_simulation::net::{DatagramWeather, Leaving, Net, Observer, Side, Weather};
use router_simulation::rng::Dice;
use router_simulation::scenario::{LATENCY, calm};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

struct Nobody;

impl Observer for Nobody {
    fn opened(&mut self, _: Time, _: u32, _: Node, _: Node) {}
    fn written(&mut self, _: Time, _: u32, _: Side, _: &[u8]) {}
    fn delivered(&mut self, _: Time, _: u32, _: Side, _: usize) {}
    fn left(&mut self, _: Time, _: u32, _: Side, _: Leaving) {}
    fn end_delivered(&mut self, _: Time, _: u32, _: Side) {}
    fn out_of_descriptors(&mut self, _: Time, _: Node) {}
}

fn network(weather: Weather, seed: u64) -> (Exec, Net, Node, Node) {
    let exec = Exec::new(Dice::new(seed, 1));
    let net = Net::new(
        exec.clone(),
        Rc::new(RefCell::new(Nobody)),
        weather,
        Dice::new(seed, 2),
    );
    let (a, b) = (net.machine(0, 100), net.machine(1, 100));
    (exec, net, a, b)
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Datagrams 0 to 99 go out, one each millisecond: which came, in their order.
fn datagrams(datagrams: DatagramWeather, seed: u64, cut: bool) -> Vec<u8> {
    let (exec, net, a, b) = network(
        Weather {
            datagrams,
            ..calm()
        },
        seed,
    );
    if cut {
        net.cut(1, 50_000);
    }
    let came = Rc::new(RefCell::new(Vec::new()));
    let (to, from, received) = (net.world(b), net.world(a), came.clone());
    exec.spawn(b, async move {
        let socket = to.bind(addr(1)).await.expect("a free address");
        let mut buffer = [0; 8];
        while let Ok((count, sender)) = socket.receive(&mut buffer).await {
            assert_eq!((count, sender), (1, addr(2)));
            received.borrow_mut().push(buffer[0]);
        }
    });
    exec.run_until(1);
    let clock = exec.clone();
    exec.spawn(a, async move {
        let socket = from.bind(addr(2)).await.expect("a free address");
        for number in 0..100 {
            socket.send_to(&[number], addr(1)).await.expect("sent");
            clock.sleep(1_000).await;
        }
    });
    exec.run_until(1_000_000);
    exec.end();
    came.borrow().clone()
}

#[test]
fn datagrams_arrive_in_order_where_the_weather_is_calm() {
    assert_eq!(
        datagrams(DatagramWeather::default(), 1, false),
        (0..100).collect::<Vec<u8>>()
    );
}

#[test]
fn datagrams_are_lost_doubled_and_reordered_by_the_weather_and_alike_for_a_seed() {
    let lost = datagrams(
        DatagramWeather {
            lost: 0.3,
            ..DatagramWeather::default()
        },
        1,
        false,
    );
    assert!(
        lost.len() < 90 && lost.len() > 40 && lost.is_sorted(),
        "{lost:?}"
    );
    let doubled = datagrams(
        DatagramWeather {
            doubled: 0.3,
            ..DatagramWeather::default()
        },
        1,
        false,
    );
    assert!(doubled.len() > 110, "{doubled:?}");
    let late = DatagramWeather {
        late: (0.3, 20_000),
        ..DatagramWeather::default()
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
    let came = datagrams(DatagramWeather::default(), 1, true);
    assert_eq!(came, (50..100).collect::<Vec<u8>>());
}

#[test]
fn an_address_is_bound_once_and_free_again_after_its_socket() {
    let (exec, net, a, _) = network(calm(), 1);
    let (world, checked) = (net.world(a), Rc::new(RefCell::new(false)));
    let done = checked.clone();
    exec.spawn(a, async move {
        let first = world.bind(addr(1)).await.expect("free");
        assert!(world.bind(addr(1)).await.is_err());
        assert!(
            first.send_to(&[0; 65_508], addr(2)).await.is_err(),
            "too long for UDP"
        );
        drop(first);
        assert!(world.bind(addr(1)).await.is_ok());
        *done.borrow_mut() = true;
    });
    exec.run_until(1_000);
    assert!(*checked.borrow());
}

/// What a connection's dialer reads, when, after its listener was treated like this.
fn read_after(
    treat: impl Fn(&Net, Node) + 'static,
) -> Vec<(Time, Result<usize, std::io::ErrorKind>)> {
    let (exec, net, a, b) = network(calm(), 1);
    let listener = net.listen(b, addr(1));
    exec.spawn(b, async move {
        let mut stream = listener.accept().await.expect("a connection");
        stream.write_all(b"hello").await.expect("written");
        std::future::pending::<()>().await;
    });
    let seen = Rc::new(RefCell::new(Vec::new()));
    let (to, world, clock) = (seen.clone(), net.world(a), exec.clone());
    exec.spawn(a, async move {
        let mut stream = world.connect(addr(1)).await.expect("connected");
        let mut buffer = [0; 16];
        loop {
            let read = stream.read(&mut buffer).await.map_err(|error| error.kind());
            to.borrow_mut().push((clock.now(), read));
            if !matches!(read, Ok(1..)) {
                return;
            }
        }
    });
    let treated = net.clone();
    exec.call_at(10_000, move || treat(&treated, b));
    exec.run_until(5_000_000);
    exec.end();
    seen.borrow().clone()
}

#[test]
fn a_process_that_dies_resets_its_connections_and_a_machine_that_vanishes_says_nothing() {
    let dies = read_after(|net, node| net.kill(node, false));
    assert_eq!(
        dies,
        [
            (2 * LATENCY, Ok(5)),
            (10_000 + LATENCY, Err(std::io::ErrorKind::ConnectionReset))
        ]
    );
    let vanishes = read_after(|net, node| net.kill(node, true));
    assert_eq!(vanishes, [(2 * LATENCY, Ok(5))]);
}

#[test]
fn connects_are_refused_without_a_process_and_never_come_up_without_a_machine() {
    for vanishes in [false, true] {
        let (exec, net, a, b) = network(calm(), 1);
        let listener = net.listen(b, addr(1));
        exec.spawn(b, async move {
            let _ = listener.accept().await;
        });
        exec.run_until(10);
        net.kill(b, vanishes);
        let (world, ended, clock) = (net.world(a), Rc::new(RefCell::new(None)), exec.clone());
        let to = ended.clone();
        exec.spawn(a, async move {
            let refused = world.connect(addr(1)).await.is_err();
            *to.borrow_mut() = Some((clock.now(), refused));
        });
        exec.run_until(60_000_000);
        let expected = if vanishes {
            None
        } else {
            Some((10 + 2 * LATENCY, true))
        };
        assert_eq!(*ended.borrow(), expected);
        exec.end();
    }
}

#[test]
fn what_is_due_in_one_instant_comes_in_an_order_that_the_seed_draws() {
    let order = |seed| {
        let exec = Exec::new(Dice::new(seed, 1));
        let seen = Rc::new(RefCell::new(Vec::new()));
        for number in 0..6 {
            let (clock, to) = (exec.clone(), seen.clone());
            exec.spawn(Node(0), async move {
                clock.sleep_until(1_000).await;
                to.borrow_mut().push(number);
            });
        }
        exec.run_until(2_000);
        seen.borrow().clone()
    };
    assert_eq!(order(1), order(1));
    assert!((2..20).any(|seed| order(seed) != order(1)));
}

#[test]
fn a_killed_process_runs_no_further() {
    let exec = Exec::new(Dice::new(1, 1));
    let count = Rc::new(RefCell::new(0));
    for node in [Node(0), Node(1)] {
        let (clock, to) = (exec.clone(), count.clone());
        exec.spawn(node, async move {
            loop {
                clock.sleep(1_000).await;
                *to.borrow_mut() += 1;
            }
        });
    }
    exec.run_until(10_500);
    exec.kill(Node(0));
    exec.run_until(20_500);
    assert_eq!(*count.borrow(), 10 + 20);
    exec.end();
}
