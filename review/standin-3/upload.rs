//! SIGTERM while servers are at work on uploads whose bodies they read later.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::record::Record;
use crate::server::{Server, Slot};
use crate::setup::{Call, Deployment, LEGOFF, LOCAL, describe};
use crate::wire::{Conn, Message, response};

const CONFIG: &str = r#"{"version":"r7","routes":{"columns":["name","host","prefix","type","timeout_ms","target_latency_ms","priority","traffic_split","max_attempts","service"],"rows":[["cert-upload","jepu9.example","/cert/","upload",6000,1000,1,null,2,"certvault"]]},"services":{"columns":["name","health_path","max_connections","protocol","tls","warmup_s","warmup_per_s"],"rows":[["certvault","/health",1100,null,null,3,6.2]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Longest work of an upload at the site, times its factor for a server that is nearly full.
const WORK: Duration = Duration::from_millis(1581);
/// Largest upload of the site.
const BODY: usize = 360_000;
const DEADLINE_MS: u64 = 6_000;
const GRACE: f64 = 6.0;
const UPLOADS: usize = 18;
const ROUNDS: usize = 6;

/// What happened to one upload, in seconds of the record.
#[derive(Clone, Copy, Default)]
struct Seen {
    at_server: f64,
    began: f64,
    answered_by_server: f64,
    sent: f64,
    ended: f64,
    is_whole_and_signed: bool,
    status: u16,
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut deployment) = Deployment::start(&LEGOFF, CONFIG) else {
        return Verdict::NotRun("no store");
    };
    let seen = Arc::new(Mutex::new(vec![Seen::default(); UPLOADS]));
    let log = Arc::new(Record::new());
    let offset = record.now() - log.now();
    let mut servers = Vec::new();
    for (number, zone) in LEGOFF.zones.iter().take(2).enumerate() {
        let (seen, log) = (seen.clone(), log.clone());
        let handler = move |server: &Server, conn: &mut Conn, head: Message| {
            let id = head.header("x-request-id").to_owned();
            let place: usize = id.rsplit('-').next().unwrap().parse().unwrap_or(0);
            seen.lock().unwrap()[place].at_server = log.now() + offset;
            let left = head.header("x-deadline-ms").parse().unwrap_or(DEADLINE_MS);
            let until = Instant::now() + Duration::from_millis(left);
            match server.take_slot(until) {
                Slot::Taken => {}
                // It never answers what it can't queue.
                Slot::Full => {
                    std::thread::sleep(Duration::from_secs(20));
                    return false;
                }
                Slot::TooLate => return false,
            }
            seen.lock().unwrap()[place].began = log.now() + offset;
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
            seen.lock().unwrap()[place].answered_by_server = log.now() + offset;
            // The answer comes first, then the rest of the body is read.
            conn.send(&response("200 OK", &headers, &[b'a'; 1500])) && conn.read_body(&head).is_some()
        };
        let id = format!("i-cert{number}");
        let names = (id.as_str(), "certvault", *zone);
        let Some(server) = Server::start(names, (3, 6), LOCAL, Arc::new(handler)) else {
            return Verdict::NotRun("no server");
        };
        server.register(&deployment.store);
        servers.push(server);
    }
    if !deployment.launch() {
        return Verdict::NotRun("the instances are not ready");
    }
    record.add("three instances and two servers of three slots are ready");
    for round in 1..=ROUNDS {
        std::thread::sleep(Duration::from_secs(3));
        record.add(format!("round {round}: {UPLOADS} uploads of {BODY} bytes"));
        *seen.lock().unwrap() = vec![Seen::default(); UPLOADS];
        if play(record, &deployment, &seen, round, has_trouble) {
            return Verdict::Broken;
        }
        if round < ROUNDS && has_trouble && !deployment.restart(0) {
            return Verdict::NotRun("instance 0 didn't start again");
        }
    }
    Verdict::Held
}

/// Sends the uploads and SIGTERM; returns whether the rule was broken.
fn play(
    record: &Record,
    deployment: &Deployment,
    seen: &Mutex<Vec<Seen>>,
    round: usize,
    has_trouble: bool,
) -> bool {
    let fronts: Vec<_> = deployment.instances.iter().map(|one| one.front()).collect();
    let body = vec![b'u'; BODY];
    let mut stopped = 0.0;
    std::thread::scope(|scope| {
        for place in 0..UPLOADS {
            let (body, fronts) = (&body, &fronts);
            scope.spawn(move || {
                let call = Call {
                    method: "POST",
                    path: "/cert/new",
                    id: &format!("upload-{round}-{place}"),
                    deadline_ms: DEADLINE_MS,
                    body,
                };
                // Those to instance 0 come a moment later, when the slots are taken.
                let instance = if place < UPLOADS / 3 { 1 + place % 2 } else { 0 };
                if instance == 0 {
                    std::thread::sleep(Duration::from_millis(1));
                }
                let mut conn = Conn::connect(fronts[instance]);
                let Some(conn) = &mut conn else { return };
                let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
                let is_sent = conn.send(&call.bytes());
                let sent = record.now();
                let answer = conn.read_message();
                let ended = record.now();
                let mut seen = seen.lock().unwrap();
                let one = &mut seen[place];
                one.sent = if is_sent { sent } else { 0.0 };
                one.ended = ended;
                one.status = answer.as_ref().map_or(0, Message::status);
                one.is_whole_and_signed = answer
                    .as_ref()
                    .is_some_and(|answer| !answer.header("x-server-signature").is_empty());
                record.add(format!(
                    "upload-{round}-{place} to instance {}: sent whole at {sent:.3} s, reached a server at {:.3} s, \
                     the server's answer at {:.3} s; the client: {}",
                    instance,
                    one.at_server,
                    one.answered_by_server,
                    describe(answer.as_ref())
                ));
            });
        }
        std::thread::sleep(Duration::from_millis(700));
        if has_trouble {
            stopped = record.now();
            deployment.instances[0].signal("TERM");
            record.add("SIGTERM to instance 0");
        }
    });
    if !has_trouble {
        return false;
    }
    let mut is_broken = false;
    for (place, one) in seen.lock().unwrap().iter().enumerate() {
        // Those of the instance that got SIGTERM, sent whole before it and still open then.
        if place < UPLOADS / 3 || one.sent == 0.0 || one.sent > stopped || one.ended < stopped {
            continue;
        }
        // The server was at work, and had not come to the last sixth of the grace time.
        let is_early = one.ended < stopped + GRACE * 5.0 / 6.0;
        if one.began > 0.0 && one.began < one.ended && !one.is_whole_and_signed && is_early {
            is_broken = true;
            record.add(format!(
                "upload-{round}-{place} was passed on at {:.3} s, its server began at {:.3} s, and it was broken off at {:.3} s, {:.3} s after \
                 SIGTERM, with status {} of the instance's own",
                one.at_server,
                one.began,
                one.ended,
                one.ended - stopped,
                one.status
            ));
        }
    }
    is_broken
}
