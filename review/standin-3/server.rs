//! A server of one service: registers itself in the store, answers its health path and hands
//! other requests to the case.

use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::store::Store;
use crate::wire::{Conn, Message, response};

/// What a case does with a request; false ends the connection.
pub type Handler = dyn Fn(&Server, &mut Conn, Message) -> bool + Send + Sync;

pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Requests that may wait for a slot.
    pub queue: u32,
    pub address: SocketAddr,
    pub draining: AtomicBool,
    load: Mutex<Load>,
    freed: Condvar,
    sequence: AtomicU32,
    born: u64,
    crashed: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    pub answers: AtomicU64,
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

/// How a request came out of the queue.
#[derive(PartialEq)]
pub enum Slot {
    Taken,
    Full,
    TooLate,
}

impl Server {
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        (slots, queue): (u32, u32),
        ip: IpAddr,
        handler: Arc<Handler>,
    ) -> Option<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0)).ok()?;
        let server = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            slots,
            queue,
            address: listener.local_addr().ok()?,
            draining: AtomicBool::new(false),
            load: Mutex::default(),
            freed: Condvar::new(),
            sequence: AtomicU32::new(0),
            // It started a while ago, so it is warm.
            born: unix_ms() - 60_000,
            answers: AtomicU64::new(0),
            crashed: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let served = server.clone();
        listener.set_nonblocking(true).ok()?;
        std::thread::spawn(move || {
            // The port is closed with the listener, at the end of this loop.
            while !served.has_crashed() {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let Ok(copy) = stream.try_clone() else { continue };
                let _ = stream.set_nonblocking(false);
                let mut streams = served.streams.lock().unwrap();
                streams.retain(|stream| stream.peer_addr().is_ok());
                streams.push(copy);
                drop(streams);
                let (server, handler) = (served.clone(), handler.clone());
                std::thread::spawn(move || {
                    let copy = stream.try_clone();
                    server.serve(stream, &*handler);
                    if let Ok(copy) = copy {
                        let _ = copy.shutdown(Shutdown::Both);
                    }
                });
            }
        });
        Some(server)
    }

    /// Ends the server as a crash does: nothing listens any more, and its connections end.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn has_crashed(&self) -> bool {
        self.crashed.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let mut conn = Conn::new(stream);
        while let Some(head) = conn.read_head() {
            if head.second() == "/health" {
                let status = if self.draining.load(Ordering::SeqCst) {
                    "503 Service Unavailable"
                } else {
                    "200 OK"
                };
                let load = self.load_text();
                let headers = [
                    ("X-Instance-Id", self.id.as_str()),
                    ("X-Server-Load", load.as_str()),
                    ("Keep-Alive", "timeout=10"),
                ];
                if !conn.send(&response(status, &headers, b"")) {
                    return;
                }
                continue;
            }
            let expected = head.header("x-expected-instance");
            if !expected.is_empty() && expected != self.id {
                let id = head.header("x-request-id").to_owned();
                if conn.read_body(&head).is_none() {
                    return;
                }
                let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
                if !conn.send(&response("421 Misdirected Request", &headers, b"")) {
                    return;
                }
                continue;
            }
            if !handler(self, &mut conn, head) {
                return;
            }
        }
    }

    pub fn load_text(&self) -> String {
        let load = self.load.lock().unwrap();
        format!("{},{},{},100", load.running, load.waiting, self.slots)
    }

    /// Waits for a slot, at most until `until`.
    pub fn take_slot(&self, until: Instant) -> Slot {
        let mut load = self.load.lock().unwrap();
        if load.running < self.slots {
            load.running += 1;
            return Slot::Taken;
        }
        if load.waiting >= self.queue {
            return Slot::Full;
        }
        load.waiting += 1;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            load = self.freed.wait_timeout(load, left).unwrap().0;
            if load.running < self.slots {
                load.running += 1;
                load.waiting -= 1;
                return Slot::Taken;
            }
            if Instant::now() >= until {
                load.waiting -= 1;
                return Slot::TooLate;
            }
        }
    }

    pub fn free_slot(&self) {
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }

    pub fn born(&self) -> u64 {
        self.born
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Writes the server's entry; returns the store's revision.
    pub fn beat(&self, store: &Store) -> u64 {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","warmup_left_ms":0,"sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.zone, self.slots, self.born
        );
        store.put(&self.key(), entry.as_bytes())
    }

    /// Writes the entry every 1,500 ms from now on. After a crash the store removes it when
    /// three of these times have passed.
    pub fn register(self: &Arc<Self>, store: &Store) {
        let (server, store) = (self.clone(), store.clone());
        server.beat(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(1500));
                if server.has_crashed() {
                    std::thread::sleep(Duration::from_millis(3000));
                    store.remove(&server.key());
                    return;
                }
                server.beat(&store);
            }
        });
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
