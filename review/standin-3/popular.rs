//! Servers crash while each of them runs a request that many clients send.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::record::Record;
use crate::server::{Server, Slot};
use crate::setup::{Call, Deployment, LOCAL, SAATCI, describe};
use crate::wire::{Conn, Message, response};

const FIRST: &str =
    r#"["order-read","jepu9.example","/order/","safe",1000,250,2,null,2,"certlookup"]"#;
const ADDED: &str =
    r#",["status-read","jepu9.example","/status/","safe",1000,250,2,null,2,"certlookup"]"#;

/// Between the mean work of the site's status-read (90 ms) and its longest (540 ms).
const WORK: Duration = Duration::from_millis(200);
const DEADLINE_MS: u64 = 2_000;
const SERVERS: usize = 21;
/// 0.143 of them; the site's largest share is 0.15.
const CRASHES: usize = 3;
const CLIENTS: usize = 63;
/// All clients look once a second, within this time.
const SPREAD_MS: usize = 100;
/// Seconds with requests before the crash, from it to the steady state, and of that.
const BEFORE: u64 = 5;
const CALM: u64 = 9;
const STEADY: u64 = 20;

fn config(version: &str, routes: &str) -> String {
    format!(
        r#"{{"version":"{version}","routes":{{"columns":["name","host","prefix","type","timeout_ms","target_latency_ms","priority","traffic_split","max_attempts","service"],"rows":[{routes}]}},"services":{{"columns":["name","health_path","max_connections","protocol","tls","warmup_s","warmup_per_s"],"rows":[["certlookup","/health",220,null,null,3,21]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Requests on the first route and on the added one: sent and served in the steady state.
#[derive(Default)]
struct Counts {
    sent: [AtomicU64; 2],
    served: [AtomicU64; 2],
}

impl Counts {
    fn share(&self, route: usize) -> f64 {
        let served = self.served[route].load(Ordering::SeqCst) as f64;
        served / (self.sent[route].load(Ordering::SeqCst) as f64).max(1.0)
    }
}

fn answer(server: &Server, conn: &mut Conn, head: &Message) -> bool {
    if conn.read_body(head).is_none() {
        return false;
    }
    let id = head.header("x-request-id").to_owned();
    let left = head.header("x-deadline-ms").parse().unwrap_or(DEADLINE_MS);
    if server.take_slot(Instant::now() + Duration::from_millis(left)) != Slot::Taken {
        let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
        return conn.send(&response("503 Service Unavailable", &headers, b""));
    }
    std::thread::sleep(WORK);
    server.free_slot();
    if server.has_crashed() {
        return false;
    }
    let signature = format!("{}.{id}", server.id);
    let load = server.load_text();
    let headers = [
        ("X-Request-Id", id.as_str()),
        ("X-Server-Signature", signature.as_str()),
        ("X-Server-Load", load.as_str()),
        ("Keep-Alive", "timeout=10"),
    ];
    conn.send(&response("200 OK", &headers, b"fine"))
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut deployment) = Deployment::start(&SAATCI, &config("r7", FIRST)) else {
        return Verdict::NotRun("no store");
    };
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let id = format!("i-cert{number}");
        let names = (id.as_str(), "certlookup", SAATCI.zones[number % 3]);
        let handler = |server: &Server, conn: &mut Conn, head| answer(server, conn, &head);
        let Some(server) = Server::start(names, (6, 24), LOCAL, Arc::new(handler)) else {
            return Verdict::NotRun("no server");
        };
        server.register(&deployment.store);
        servers.push(server);
    }
    if !deployment.launch() {
        return Verdict::NotRun("the instances are not ready");
    }
    std::thread::sleep(Duration::from_secs(3));
    let routes = format!("{FIRST}{ADDED}");
    deployment
        .store
        .put("op/config", config("r9", &routes).as_bytes());
    record.add(format!(
        "three instances and {SERVERS} servers are ready; r9 adds the route /status/"
    ));
    std::thread::sleep(Duration::from_secs(3));
    let fronts: Vec<_> = deployment.instances.iter().map(|one| one.front()).collect();
    let counts = Counts::default();
    let examples = Mutex::new(0);
    let start = Instant::now();
    let sleep_until = |seconds: u64, ms: usize| {
        let at = start + Duration::from_millis(1000 * seconds + ms as u64);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fronts, counts, examples) = (&fronts, &counts, &examples);
            scope.spawn(move || {
                for second in 0..BEFORE + CALM + STEADY {
                    sleep_until(second, client * 37 % SPREAD_MS);
                    // Six of seven clients look at the one status page.
                    let route = usize::from(client % 7 != 0);
                    let path = if route == 0 {
                        format!("/order/{client}-{second}")
                    } else {
                        "/status/today".to_owned()
                    };
                    let call = Call {
                        method: "GET",
                        path: &path,
                        id: &format!("read-{client}-{second}"),
                        deadline_ms: DEADLINE_MS,
                        body: b"",
                    };
                    let answer = call.send(fronts[(client + second as usize) % fronts.len()]);
                    let is_served = answer.as_ref().is_some_and(|answer| answer.status() == 200);
                    if second < BEFORE + CALM {
                        continue;
                    }
                    counts.sent[route].fetch_add(1, Ordering::SeqCst);
                    counts.served[route].fetch_add(u64::from(is_served), Ordering::SeqCst);
                    let mut examples = examples.lock().unwrap();
                    if !is_served && *examples < 5 {
                        *examples += 1;
                        record.add(format!(
                            "{} on {path}: {} (Retry-After: {:?})",
                            call.id,
                            describe(answer.as_ref()),
                            answer.as_ref().map_or("", |answer| answer.header("retry-after"))
                        ));
                    }
                }
            });
        }
        sleep_until(BEFORE - 1, 130);
        if has_trouble {
            for server in &servers[..CRASHES] {
                server.crash();
            }
            record.add(format!(
                "{CRASHES} of {SERVERS} servers crash at once, for good"
            ));
        }
        sleep_until(BEFORE + CALM, 0);
        record.add("the state is steady from here on");
    });
    for (route, name) in ["/order/ (first)", "/status/ (added)"].iter().enumerate() {
        record.add(format!(
            "{name}: {} of {} requests served in the steady state",
            counts.served[route].load(Ordering::SeqCst),
            counts.sent[route].load(Ordering::SeqCst)
        ));
    }
    let is_broken =
        counts.sent[1].load(Ordering::SeqCst) >= 20 && counts.share(1) < counts.share(0) / 4.0;
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
