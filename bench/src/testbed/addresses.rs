//! The address lists that callers get from the instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use rand::Rng;
use serde::Deserialize;

use super::POLL_INTERVAL;
use crate::deployment::Deployment;
use crate::load::{Routes, fetch};

/// Time for which callers use an address list before they fetch it again.
const ADDRESS_TTL: Duration = Duration::from_secs(1);

/// Thread that regularly fetches the callers' address lists from the instances.
#[derive(Debug)]
pub(super) struct AddressRefresher {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for AddressRefresher {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl AddressRefresher {
    pub(super) fn start(
        routes: Routes,
        instances: Vec<SocketAddr>,
        deployment: &Deployment,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let paths: Vec<String> = deployment
            .services
            .iter()
            .flat_map(|service| {
                let path = |zone| format!("/v1/addresses?service={}&zone={zone}", service.name);
                deployment.zones.iter().map(path)
            })
            .collect();
        let thread = std::thread::spawn(move || {
            let rt = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let Ok(rt) = rt else { return };
            let mut lists = vec![Vec::new(); paths.len()];
            while !stopped.load(Ordering::Relaxed) {
                rt.block_on(refresh(&paths, &instances, &mut lists));
                routes.set(lists.clone());
                let start = Instant::now();
                while start.elapsed() < ADDRESS_TTL && !stopped.load(Ordering::Relaxed) {
                    std::thread::sleep(POLL_INTERVAL);
                }
            }
        });
        Self {
            stop,
            thread: Some(thread),
        }
    }
}

#[derive(Deserialize)]
struct AddressResponse {
    addresses: Vec<Address>,
}

#[derive(Deserialize)]
struct Address {
    callers: SocketAddr,
}

async fn refresh(paths: &[String], instances: &[SocketAddr], lists: &mut [Vec<SocketAddr>]) {
    for (path, list) in paths.iter().zip(lists) {
        let instance = instances[rand::rng().random_range(0..instances.len())];
        let request = fetch(instance, Method::GET, path, Bytes::new());
        let Ok(Ok((_, body))) = tokio::time::timeout(ADDRESS_TTL, request).await else {
            continue;
        };
        if let Ok(response) = serde_json::from_slice::<AddressResponse>(&body) {
            *list = response
                .addresses
                .iter()
                .map(|address| address.callers)
                .collect();
        }
    }
}
