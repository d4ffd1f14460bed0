//! Servers that hand out wrong bytes: part of an earlier answer comes once more, late, right
//! before the next answer on the connection.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::record::Record;
use crate::server::{Server, Slot};
use crate::setup::{Call, Deployment, LOCAL, SAATCI, describe};
use crate::wire::{Conn, Message, response};

const CONFIG: &str = r#"{"version":"r7","routes":{"columns":["name","host","prefix","type","timeout_ms","target_latency_ms","priority","traffic_split","max_attempts","service"],"rows":[["order-submit","jepu9.example","/order/","unsafe",1200,300,1,null,2,"orderdesk"],["status-read","jepu9.example","/status/","safe",1200,300,1,null,2,"orderdesk"]]},"services":{"columns":["name","health_path","max_connections","protocol","tls","warmup_s","warmup_per_s"],"rows":[["orderdesk","/health",220,null,null,3,21]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Mean work of an order at the site.
const WORK: Duration = Duration::from_millis(120);
const DEADLINE_MS: u64 = 2_500;
/// The site's dose: 0.03 of a server's answers for 5 s, again after a pause.
const SHARE: f64 = 0.03;
const SPELL: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(5);
/// Own failures of a server, as a share of its answers.
const FAILURES: u64 = 250;

/// Which earlier answer comes once more.
#[derive(Clone, Copy, PartialEq)]
enum Earlier {
    Rejection,
    Failure,
}

/// What was seen of each request.
#[derive(Default)]
struct Seen {
    /// Runs by request: the server and the status of its answer.
    runs: Mutex<HashMap<String, Vec<(String, u16)>>>,
    spoiled: AtomicU64,
    rejected: AtomicU64,
}

pub fn rejected(record: &Record, has_trouble: bool) -> Verdict {
    run(record, has_trouble, Earlier::Rejection)
}

pub fn failed(record: &Record, has_trouble: bool) -> Verdict {
    run(record, has_trouble, Earlier::Failure)
}

/// An answer's bytes up to a place inside the first header's value, or inside the reason.
fn cut(answer: &[u8], earlier: Earlier) -> Vec<u8> {
    let text = String::from_utf8_lossy(answer);
    let end = match earlier {
        Earlier::Rejection => text.find("X-Not-Executed: 1").map(|at| at + 17),
        Earlier::Failure => text.find("Error").map(|at| at + 2),
    };
    answer[..end.unwrap_or(0)].to_vec()
}

fn run(record: &Record, has_trouble: bool, earlier: Earlier) -> Verdict {
    let Some(mut deployment) = Deployment::start(&SAATCI, CONFIG) else {
        return Verdict::NotRun("no store");
    };
    let seen = Arc::new(Seen::default());
    let spells = Arc::new(Mutex::new(None::<Instant>));
    let log = Arc::new(Mutex::new(Vec::<String>::new()));
    let mut servers = Vec::new();
    for (number, zone) in SAATCI.zones.iter().enumerate() {
        let is_faulty = has_trouble && number == 0;
        let (seen, spells, log) = (seen.clone(), spells.clone(), log.clone());
        // The cut answer that is due on a connection, by the connection's port.
        let due: Mutex<HashMap<u16, Vec<u8>>> = Mutex::default();
        let handler = move |server: &Server, conn: &mut Conn, head: Message| {
            let port = conn.stream.peer_addr().map_or(0, |address| address.port());
            if conn.read_body(&head).is_none() {
                return false;
            }
            let id = head.header("x-request-id").to_owned();
            let left = head.header("x-deadline-ms").parse().unwrap_or(DEADLINE_MS);
            let slot = server.take_slot(Instant::now() + Duration::from_millis(left));
            let load = server.load_text();
            if slot != Slot::Taken {
                seen.rejected.fetch_add(1, Ordering::SeqCst);
                let headers = [
                    ("X-Not-Executed", "1"),
                    ("X-Request-Id", id.as_str()),
                    ("X-Server-Load", load.as_str()),
                    ("Keep-Alive", "timeout=10"),
                ];
                let bytes = response("503 Service Unavailable", &headers, b"");
                server.answers.fetch_add(1, Ordering::SeqCst);
                if earlier == Earlier::Rejection {
                    due.lock().unwrap().insert(port, cut(&bytes, earlier));
                }
                return conn.send(&bytes);
            }
            let count = server.answers.fetch_add(1, Ordering::SeqCst) + 1;
            let has_failed = count % FAILURES == 0;
            let status = if has_failed { 500 } else { 200 };
            let mut runs = seen.runs.lock().unwrap();
            runs.entry(id.clone()).or_default().push((server.id.clone(), status));
            drop(runs);
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
            if has_failed {
                let bytes = response("500 Internal Server Error", &headers, b"no");
                if earlier == Earlier::Failure {
                    due.lock().unwrap().insert(port, cut(&bytes, earlier));
                }
                return conn.send(&bytes);
            }
            let answer = response("200 OK", &headers, &[b'a'; 500]);
            let spoiled = seen.spoiled.load(Ordering::SeqCst);
            let is_in_spell = spells.lock().unwrap().is_some_and(|start| {
                let at = start.elapsed().as_secs_f64();
                at % (SPELL + PAUSE).as_secs_f64() < SPELL.as_secs_f64()
            });
            let late = due.lock().unwrap().remove(&port);
            let Some(late) = late.filter(|_| {
                is_faulty && is_in_spell && (spoiled + 1) as f64 <= SHARE * count as f64
            }) else {
                return conn.send(&answer);
            };
            seen.spoiled.fetch_add(1, Ordering::SeqCst);
            log.lock().unwrap().push(format!(
                "{} answers {id} with {:?}, and sends before it {:?}",
                server.id,
                String::from_utf8_lossy(&answer[..15]),
                String::from_utf8_lossy(&late)
            ));
            conn.send(&[late, answer].concat())
        };
        let id = format!("i-order{number}");
        let names = (id.as_str(), "orderdesk", *zone);
        let Some(server) = Server::start(names, (6, 3), LOCAL, Arc::new(handler)) else {
            return Verdict::NotRun("no server");
        };
        server.register(&deployment.store);
        servers.push(server);
    }
    if !deployment.launch() {
        return Verdict::NotRun("the instances are not ready");
    }
    std::thread::sleep(Duration::from_secs(3));
    record.add("three instances and three servers of six slots are ready; orders begin");
    *spells.lock().unwrap() = Some(Instant::now());
    let fronts: Vec<_> = deployment.instances.iter().map(|one| one.front()).collect();
    let (method, path) = ("POST", "/order/new");
    let answers = Mutex::new(HashMap::new());
    let end = Instant::now() + Duration::from_secs(60);
    let is_broken = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fronts, answers, seen, is_broken) = (&fronts, &answers, &seen, &is_broken);
            scope.spawn(move || {
                for number in 0.. {
                    if Instant::now() > end || is_broken.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("order-{client}-{number}");
                    let call = Call { method, path, id: &id, deadline_ms: DEADLINE_MS, body: b"one order" };
                    let answer = call.send(fronts[(client + number) % fronts.len()]);
                    if let Some(fault) = judge(&id, answer.as_ref(), seen) {
                        record.add(format!("{id}: {fault}; the client: {}", describe(answer.as_ref())));
                        is_broken.store(true, Ordering::SeqCst);
                    }
                    let status = answer.as_ref().map_or(0, Message::status);
                    *answers.lock().unwrap().entry(status).or_insert(0) += 1;
                    if status != 200 {
                        std::thread::sleep(Duration::from_millis(100));
                    }
                }
            });
        }
    });
    for line in log.lock().unwrap().iter() {
        record.add(line);
    }
    let runs = seen.runs.lock().unwrap();
    for (id, runs) in runs.iter().filter(|(_, runs)| runs.len() > 1) {
        record.add(format!("{id} ran {} times: {runs:?}", runs.len()));
        is_broken.store(true, Ordering::SeqCst);
    }
    record.add(format!(
        "answers to clients by status: {:?}; {} requests ran; the servers rejected {} and spoiled {} of {} answers of {}",
        answers.lock().unwrap(),
        runs.len(),
        seen.rejected.load(Ordering::SeqCst),
        seen.spoiled.load(Ordering::SeqCst),
        servers[0].answers.load(Ordering::SeqCst),
        servers[0].id,
    ));
    if is_broken.load(Ordering::SeqCst) { Verdict::Broken } else { Verdict::Held }
}

/// Clients that each send one request after the other.
const CLIENTS: usize = 40;

/// Compares what the client got with what the servers did.
fn judge(id: &str, answer: Option<&Message>, seen: &Seen) -> Option<String> {
    let runs = seen.runs.lock().unwrap();
    let runs = runs.get(id).map_or(&[][..], |runs| runs);
    if runs.len() > 1 {
        return Some(format!("TWICE: it ran {} times: {runs:?}", runs.len()));
    }
    let status = answer?.status();
    if matches!(status, 408 | 421 | 429 | 503) && !runs.is_empty() {
        return Some(format!("REFUSED: answered {status}, and it ran: {runs:?}"));
    }
    let is_signed = !answer?.header("x-server-signature").is_empty();
    if let [(server, given)] = runs
        && is_signed
        && *given != status
    {
        return Some(format!("MIXED: {server} gave {given}, the client got a signed {status}"));
    }
    None
}
