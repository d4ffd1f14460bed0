//! Prints the time of one route lookup with as many services as are expected in two years, by
//! index and by a linear search of the declared services.

use std::hint::black_box;
use std::time::Instant;

use wagtailsaddle::dispatch::route::Routes;
use wagtailsaddle::resource::{Resource, ResourceSet, Service, ServiceSpec};

const SERVICES: usize = 2_900;
const ROUNDS: usize = 20_000;

fn main() {
    let set = declared_services();
    let hosts: Vec<_> = (0..ROUNDS)
        .map(|round| host(round * 7 % SERVICES))
        .collect();
    let routes = Routes::build(&set);

    let start = Instant::now();
    for host in &hosts {
        let found = set
            .services()
            .find(|service| service.spec.hosts.contains(host));
        black_box(found);
    }
    print_cost("search", start);

    let start = Instant::now();
    for host in &hosts {
        black_box(routes.route(host).is_ok());
    }
    print_cost("index", start);

    let start = Instant::now();
    black_box(Routes::build(&set));
    println!("index build: {} us", start.elapsed().as_micros());
}

fn declared_services() -> ResourceSet {
    let mut set = ResourceSet::default();
    for number in 0..SERVICES {
        set.put(Resource::Service(Service {
            name: format!("service-{number}").into(),
            spec: ServiceSpec {
                hosts: vec![host(number)],
                ..ServiceSpec::default()
            },
        }));
    }
    set
}

fn host(number: usize) -> String {
    format!("service-{number}.example")
}

fn print_cost(method: &str, start: Instant) {
    let rounds = u128::try_from(ROUNDS).unwrap_or(1);
    println!(
        "{method}: {} ns per lookup",
        start.elapsed().as_nanos() / rounds
    );
}
