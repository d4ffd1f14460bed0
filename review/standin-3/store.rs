//! The platform's metadata store, as far as entry instances call it. It has no faults.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::wire::{self, Conn, Message, response};

struct Item {
    value: Vec<u8>,
    rev: u64,
    create_revision: u64,
}

struct Event {
    key: String,
    rev: u64,
    /// JSON of the event.
    text: String,
}

struct Data {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: u64,
}

struct Inner {
    data: Mutex<Data>,
    changed: Condvar,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Inner>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: IpAddr) -> Option<Self> {
        let listener = TcpListener::bind((ip, 0)).ok()?;
        let address = listener.local_addr().ok()?;
        let inner = Arc::new(Inner {
            data: Mutex::new(Data {
                items: BTreeMap::new(),
                events: Vec::new(),
                revision: 100,
            }),
            changed: Condvar::new(),
        });
        let served = inner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let inner = served.clone();
                std::thread::spawn(move || serve(&inner, stream));
            }
        });
        Some(Self { inner, address })
    }

    /// Writes a record, as the operator or a server does; returns its revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut data = self.inner.data.lock().unwrap();
        let rev = data.put(key, value);
        drop(data);
        self.inner.changed.notify_all();
        rev
    }

    pub fn remove(&self, key: &str) {
        let mut data = self.inner.data.lock().unwrap();
        data.remove(key);
        drop(data);
        self.inner.changed.notify_all();
    }
}

impl Data {
    fn put(&mut self, key: &str, value: &[u8]) -> u64 {
        self.revision += 1;
        let rev = self.revision;
        let create_revision = self.items.get(key).map_or(rev, |item| item.create_revision);
        let item = Item {
            value: value.to_vec(),
            rev,
            create_revision,
        };
        self.events.push(Event {
            key: key.into(),
            rev,
            text: item.json(key),
        });
        self.items.insert(key.into(), item);
        rev
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let rev = self.revision;
            self.events.push(Event {
                key: key.into(),
                rev,
                text: format!("{{\"key\":{key:?},\"rev\":{rev},\"removed\":true}}"),
            });
        }
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"key\":{key:?},\"value\":\"{}\",\"rev\":{},\"create_revision\":{},\"lease\":0}}",
            wire::to_base64(&self.value),
            self.rev,
            self.create_revision
        )
    }
}

fn serve(inner: &Inner, stream: TcpStream) {
    let mut conn = Conn::new(stream);
    while let Some(request) = conn.read_message() {
        let answer = answer(inner, &request);
        if !conn.send(&answer) {
            return;
        }
    }
}

fn json(status: &str, body: &str) -> Vec<u8> {
    response(
        status,
        &[("Content-Type", "application/json")],
        body.as_bytes(),
    )
}

fn answer(inner: &Inner, request: &Message) -> Vec<u8> {
    let (path, query) = request
        .second()
        .split_once('?')
        .unwrap_or((request.second(), ""));
    let parameter = |name: &str| {
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| wire::from_percent(value))
            .unwrap_or_default()
    };
    match path {
        "/api/kv-key" => {
            let data = inner.data.lock().unwrap();
            let key = parameter("key");
            match data.items.get(&key) {
                Some(item) => {
                    let text = item.json(&key);
                    let head = text.trim_end_matches('}');
                    json(
                        "200 OK",
                        &format!("{head},\"store_revision\":{}}}", data.revision),
                    )
                }
                None => json("404 Not Found", "{}"),
            }
        }
        "/api/kv-range" => {
            let data = inner.data.lock().unwrap();
            let (prefix, after) = (parameter("prefix"), parameter("after"));
            let items: Vec<String> = data
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                .map(|(key, item)| item.json(key))
                .collect();
            let more = items.len() > 500;
            let items = &items[..items.len().min(500)];
            json(
                "200 OK",
                &format!(
                    "{{\"items\":[{}],\"more_pages\":{more},\"store_revision\":{}}}",
                    items.join(","),
                    data.revision
                ),
            )
        }
        "/api/kv-watch" => {
            let prefix = parameter("prefix");
            let after: u64 = parameter("after").parse().unwrap_or(0);
            let wait: u64 = parameter("wait_ms").parse().unwrap_or(0);
            let end = Instant::now() + Duration::from_millis(wait.min(30_000));
            let mut data = inner.data.lock().unwrap();
            loop {
                let events: Vec<&str> = data
                    .events
                    .iter()
                    .filter(|event| event.rev > after && event.key.starts_with(&prefix))
                    .map(|event| &*event.text)
                    .collect();
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    return json(
                        "200 OK",
                        &format!(
                            "{{\"events\":[{}],\"store_revision\":{}}}",
                            events.join(","),
                            data.revision
                        ),
                    );
                }
                data = inner.changed.wait_timeout(data, left).unwrap().0;
            }
        }
        "/api/kv-txn" => {
            let text = String::from_utf8_lossy(&request.body);
            let Some(call) = Json::parse(&text) else {
                return json("400 Bad Request", "{}");
            };
            let mut data = inner.data.lock().unwrap();
            let is_met = call.get("expected").list().iter().all(|row| {
                let known = data.items.get(row.get("key").text());
                known.map_or(0, |item| item.rev) == row.get("rev").number()
            });
            if !is_met {
                return json("412 Precondition Failed", "{\"items\":[]}");
            }
            for write in call.get("writes").list() {
                let value = wire::from_base64(write.get("value").text());
                data.put(write.get("key").text(), &value);
            }
            for key in call.get("remove").list() {
                data.remove(key.text());
            }
            let rev = data.revision;
            drop(data);
            inner.changed.notify_all();
            json("200 OK", &format!("{{\"rev\":{rev}}}"))
        }
        _ => json("404 Not Found", "{}"),
    }
}
