//! The watch of the key-value service's stand-in: one JSON object a line.

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
use crate::store::{Data, Event, KeyRange, int_of};

/// Time between two looks for changes.
const LOOK: Duration = Duration::from_millis(5);

struct Watch {
    faults: Shared<StoreFaults>,
    data: Shared<Data>,
    range: KeyRange,
    /// The first revision that is still to be told.
    next: i64,
    generation: u64,
    created: bool,
    ended: bool,
}

/// Answers with a body that tells changes until the watch breaks off.
pub(crate) fn answer(
    faults: Shared<StoreFaults>,
    data: Shared<Data>,
    create: &Value,
) -> Response<Body> {
    let (present, generation) = data.change(|data| (data.revision, data.watch_generation));
    let start = int_of(create, "start_revision");
    let watch = Watch {
        faults,
        data,
        range: KeyRange::of(create),
        next: if start > 0 { start } else { present + 1 },
        generation,
        created: false,
        ended: false,
    };
    let lines = stream::unfold(watch, |mut watch| async move {
        let line = watch.line().await?;
        let frame = Frame::data(Bytes::from(format!("{line}\n")));
        Some((Ok::<_, Infallible>(frame), watch))
    });
    let body = StreamBody::new(lines);
    Response::new(body.map_err(|never| match never {}).boxed_unsync())
}

impl Watch {
    /// Waits for the next message; `None` when the watch breaks off.
    async fn line(&mut self) -> Option<Value> {
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
            let broken = self
                .data
                .change(|data| data.watch_generation != self.generation);
            if faults.down || broken {
                return None;
            }
            if !faults.silent_watches
                && let Some(line) = self.news(&faults)
            {
                tokio::time::sleep(faults.delay).await;
                return Some(line);
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    fn news(&mut self, faults: &StoreFaults) -> Option<Value> {
        let (revision, compacted, mut events) = self.data.change(|data| {
            data.end_leases();
            let from = data
                .history
                .partition_point(|event| event.revision < self.next);
            let events: Vec<Event> = data.history.range(from..).cloned().collect();
            (data.revision, data.compacted, events)
        });
        if self.next <= compacted {
            self.ended = true;
            return Some(json!({"result": {
                "header": header(revision),
                "canceled": true,
                "compact_revision": compacted.to_string(),
            }}));
        }
        self.next = revision + 1;
        events.retain(|event| self.range.covers(&event.key));
        if events.is_empty() {
            return None;
        }
        if faults.reorder_events {
            events.chunks_mut(2).for_each(<[Event]>::reverse);
        }
        if faults.duplicate_events {
            events = events.iter().flat_map(|e| [e.clone(), e.clone()]).collect();
        }
        let events: Vec<Value> = events.iter().map(wire).collect();
        Some(json!({"result": {"header": header(revision), "events": events}}))
    }
}

fn header(revision: i64) -> Value {
    json!({"revision": revision.to_string()})
}

fn wire(event: &Event) -> Value {
    match &event.stored {
        Some(stored) => json!({"kv": stored.wire(&event.key)}),
        None => json!({"type": "DELETE", "kv": {
            "key": STANDARD.encode(&event.key),
            "mod_revision": event.revision.to_string(),
        }}),
    }
}
