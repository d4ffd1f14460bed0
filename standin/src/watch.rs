//! Watches of the key-value service's stand-in: a stream of one JSON object per line.

use std::convert::Infallible;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde_json::{Value, json};

use crate::faults::{Shared, StoreFaults};
use crate::http::Body;
use crate::store::{Data, Event, KeyRange, int_field};

/// Interval at which a watch polls for new events.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

struct Watch {
    faults: Shared<StoreFaults>,
    data: Shared<Data>,
    range: KeyRange,
    /// First revision that has not been delivered.
    next_revision: i64,
    generation: u64,
    created: bool,
    ended: bool,
}

/// Returns a response whose body delivers events until the watch ends.
pub(crate) fn response(
    faults: Shared<StoreFaults>,
    data: Shared<Data>,
    create: &Value,
) -> Response<Body> {
    let (current, generation) = data.change(|data| (data.revision, data.watch_generation));
    let start = int_field(create, "start_revision");
    let watch = Watch {
        faults,
        data,
        range: KeyRange::from_msg(create),
        next_revision: if start > 0 { start } else { current + 1 },
        generation,
        created: false,
        ended: false,
    };
    let messages = stream::unfold(watch, |mut watch| async move {
        let message = watch.next_message().await?;
        let frame = Frame::data(Bytes::from(format!("{message}\n")));
        Some((Ok::<_, Infallible>(frame), watch))
    });
    let body = StreamBody::new(messages);
    Response::new(body.map_err(|never| match never {}).boxed_unsync())
}

impl Watch {
    /// Waits for the next message; `None` once the watch has ended.
    async fn next_message(&mut self) -> Option<Value> {
        if self.ended {
            return None;
        }
        if !self.created {
            self.created = true;
            let revision = self.data.change(|data| data.revision);
            return Some(json!({"result": {"header": header(revision), "created": true}}));
        }
        loop {
            let faults = self.faults.get();
            let closed = self
                .data
                .change(|data| data.watch_generation != self.generation);
            if faults.down || closed {
                return None;
            }
            if !faults.silent_watches
                && let Some(message) = self.pending_events(&faults)
            {
                tokio::time::sleep(faults.delay).await;
                return Some(message);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn pending_events(&mut self, faults: &StoreFaults) -> Option<Value> {
        let (revision, compacted, mut events) = self.data.change(|data| {
            data.remove_expired_leases();
            let from = data
                .history
                .partition_point(|event| event.revision < self.next_revision);
            let events: Vec<Event> = data.history.range(from..).cloned().collect();
            (data.revision, data.compacted, events)
        });
        if self.next_revision <= compacted {
            self.ended = true;
            return Some(json!({"result": {
                "header": header(revision),
                "canceled": true,
                "compact_revision": compacted.to_string(),
            }}));
        }
        self.next_revision = revision + 1;
        events.retain(|event| self.range.contains(&event.key));
        if events.is_empty() {
            return None;
        }
        if faults.reorder_events {
            events.chunks_mut(2).for_each(<[Event]>::reverse);
        }
        if faults.duplicate_events {
            events = events.iter().flat_map(|e| [e.clone(), e.clone()]).collect();
        }
        let events: Vec<Value> = events.iter().map(event_json).collect();
        Some(json!({"result": {"header": header(revision), "events": events}}))
    }
}

fn header(revision: i64) -> Value {
    json!({"revision": revision.to_string()})
}

fn event_json(event: &Event) -> Value {
    match &event.stored {
        Some(stored) => json!({"kv": stored.to_json(&event.key)}),
        None => json!({"type": "DELETE", "kv": {
            "key": STANDARD.encode(&event.key),
            "mod_revision": event.revision.to_string(),
        }}),
    }
}
