//! Another writer's entry, with a field missing or of another type, under the key of a live
//! server of another service.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::record::Record;
use crate::server::{Server, Slot};
use crate::setup::{Call, Deployment, LOCAL, SAATCI, describe};
use crate::wire::{Conn, Message, response};

const CONFIG: &str = r#"{"version":"r7","routes":{"columns":["name","host","prefix","type","timeout_ms","target_latency_ms","priority","traffic_split","max_attempts","service"],"rows":[["order-submit","jepu9.example","/order/","unsafe",1200,300,1,null,2,"orderdesk"],["report-fetch","jepu9.example","/report/","unsafe",1200,300,1,null,2,"archive"]]},"services":{"columns":["name","health_path","max_connections","protocol","tls","warmup_s","warmup_per_s"],"rows":[["orderdesk","/health",220,null,null,3,21],["archive","/health",220,null,null,3,21]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

const WORK: Duration = Duration::from_millis(40);
const DEADLINE_MS: u64 = 2_000;
const CLIENTS: usize = 8;

/// The odd entries: a live server's, with another service and one of these fields.
const ODD: [(&str, &str); 4] = [
    ("no sequence", ""),
    ("a sequence that is text", r#","sequence":"7""#),
    ("a sequence that is a list", r#","sequence":[]"#),
    ("a sequence that is null", r#","sequence":null"#),
];

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut deployment) = Deployment::start(&SAATCI, CONFIG) else {
        return Verdict::NotRun("no store");
    };
    let wrong = Arc::new(AtomicU64::new(0));
    let counts: Arc<[AtomicU64; 2]> = Arc::default();
    let log = Arc::new(Mutex::new(Vec::<String>::new()));
    let mut servers = Vec::new();
    let started = Instant::now();
    let offset = record.now();
    for number in 0..6 {
        let service = if number < 3 { "orderdesk" } else { "archive" };
        let (wrong, counts, log) = (wrong.clone(), counts.clone(), log.clone());
        let handler = move |server: &Server, conn: &mut Conn, head: Message| {
            if conn.read_body(&head).is_none() {
                return false;
            }
            let id = head.header("x-request-id").to_owned();
            let until = Instant::now() + Duration::from_millis(DEADLINE_MS);
            if server.take_slot(until) != Slot::Taken {
                let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
                return conn.send(&response("503 Service Unavailable", &headers, b""));
            }
            let is_report = head.second().starts_with("/report/");
            counts[usize::from(is_report)].fetch_add(1, Ordering::SeqCst);
            if is_report != (server.service == "archive") {
                wrong.fetch_add(1, Ordering::SeqCst);
                log.lock().unwrap().push(format!(
                    "at {:.3} s {} of {} ran {id}: {} (X-Expected-Instance: {})",
                    started.elapsed().as_secs_f64() + offset,
                    server.id,
                    server.service,
                    head.line,
                    head.header("x-expected-instance")
                ));
            }
            std::thread::sleep(WORK);
            server.free_slot();
            let signature = format!("{}.{id}", server.id);
            let load = server.load_text();
            let headers = [
                ("X-Request-Id", id.as_str()),
                ("X-Server-Signature", signature.as_str()),
                ("X-Server-Load", load.as_str()),
                ("Keep-Alive", "timeout=10"),
            ];
            conn.send(&response("200 OK", &headers, server.service.as_bytes()))
        };
        let id = format!("i-{service}{number}");
        let names = (id.as_str(), service, SAATCI.zones[number % 3]);
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
    record.add("three instances, three servers of orderdesk and three of archive are ready");
    let fronts: Vec<_> = deployment.instances.iter().map(|one| one.front()).collect();
    let is_over = AtomicBool::new(false);
    let foreign = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fronts, is_over, foreign) = (&fronts, &is_over, &foreign);
            scope.spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let (word, service) =
                        [("order", "orderdesk"), ("report", "archive")][(client + number) % 2];
                    let call = Call {
                        method: "POST",
                        path: &format!("/{word}/new"),
                        id: &format!("{word}-{client}-{number}"),
                        deadline_ms: DEADLINE_MS,
                        body: b"one",
                    };
                    let answer = call.send(fronts[(client + number) % fronts.len()]);
                    if answer
                        .as_ref()
                        .is_some_and(|answer| answer.status() == 200 && answer.body != service.as_bytes())
                    {
                        foreign.fetch_add(1, Ordering::SeqCst);
                        record.add(format!("{} got {}", call.id, describe(answer.as_ref())));
                    }
                }
            });
        }
        for (what, field) in ODD {
            std::thread::sleep(Duration::from_secs(4));
            let server = &servers[0];
            if has_trouble {
                let entry = format!(
                    r#"{{"service":"archive","address":"{}","zone":"{}","version":"v1","slots":6,"state":"ready","warmup_left_ms":0{field},"born":{}}}"#,
                    server.address,
                    server.zone,
                    server.born()
                );
                deployment.store.put(&server.key(), entry.as_bytes());
                record.add(format!("another writer's entry with {what} under {}: {entry}", server.key()));
            }
        }
        std::thread::sleep(Duration::from_secs(4));
        is_over.store(true, Ordering::SeqCst);
    });
    for line in log.lock().unwrap().iter() {
        record.add(line);
    }
    record.add(format!(
        "ran: {} on /order/, {} on /report/; by a server of the other service: {}; answers of the other service to clients: {}",
        counts[0].load(Ordering::SeqCst),
        counts[1].load(Ordering::SeqCst),
        wrong.load(Ordering::SeqCst),
        foreign.load(Ordering::SeqCst)
    ));
    if wrong.load(Ordering::SeqCst) > 0 { Verdict::Broken } else { Verdict::Held }
}
