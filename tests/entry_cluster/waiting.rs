//! Waits of the tests, each for a state.

use std::net::SocketAddr;

use serde_json::Value;

use super::{EntryCluster, Instance, POLL_INTERVAL, READINESS_PORT, WAIT_LIMIT, exchange};

impl EntryCluster {
    pub async fn wait_until_running(&self, id: &str) {
        self.wait_until(|| async { Some(self.runs(id)) }, |runs| *runs > 0)
            .await;
    }

    /// Waits until a log contains `text`, and returns the first instance with such a log.
    pub async fn wait_for_first_log(&self, text: &str) -> usize {
        let has = |instance: &Instance| instance.log.lock().unwrap().contains(text);
        let first = || async { self.instances.iter().position(has) };
        self.wait_until(first, |_| true).await;
        first().await.unwrap()
    }

    pub async fn wait_until_arrived(&self, id: &str) {
        self.wait_until(|| async { Some(self.arrivals(id)) }, |count| *count > 0)
            .await;
    }

    /// Waits until this many bodies broke off at the targets.
    pub async fn wait_for_broken_bodies(&self, count: u32) {
        let broken = || async {
            let records = self.targets.iter().map(|target| target.record.get());
            Some(records.map(|record| record.broken_bodies).sum::<u32>())
        };
        self.wait_until(broken, |known| *known == count).await;
    }

    /// Waits until an instance that may still be starting is ready.
    pub async fn wait_until_ready(&self, instance: usize) {
        let address = SocketAddr::new(self.instances[instance].ip, READINESS_PORT);
        let readiness = || async {
            let req = "GET /api/readiness HTTP/1.1\r\nhost: x\r\n\r\n".to_owned();
            Some(exchange(address, req).await?.status)
        };
        self.wait_until(readiness, |status| *status == 200).await;
    }

    pub async fn wait_for_version(&self, instance: usize, version: u64) {
        let has = |dump: &Value| dump["standing"]["version"].as_u64() >= Some(version);
        self.wait_until(|| self.dump(instance), has).await;
    }

    /// Waits until an instance knows this many targets that are not leaving.
    pub async fn wait_for_targets(&self, instance: usize, count: usize) {
        let has = |dump: &Value| {
            let targets = dump["targets"].as_array().cloned().unwrap_or_default();
            targets
                .iter()
                .filter(|target| target["leaving"] == false)
                .count()
                == count
        };
        self.wait_until(|| self.dump(instance), has).await;
    }

    /// Waits until the directory of an instance resolves to this many addresses.
    pub async fn wait_for_directory(&self, instance: usize, count: usize) {
        self.wait_until(|| self.directory(instance), |known| *known == count)
            .await;
    }

    /// Waits until this many instances watch the store.
    pub async fn wait_for_watchers(&self, count: usize) {
        let watching = || async {
            let mut watching = 0;
            for instance in 0..self.instances.len() {
                let dump = self.dump(instance).await?;
                watching += usize::from(dump["standing"]["store"] == "watching");
            }
            Some(watching)
        };
        self.wait_until(watching, |known| *known == count).await;
    }

    /// Waits until the log of an instance contains `text` at least this many times.
    pub async fn wait_for_log(&self, instance: usize, text: &str, times: usize) {
        let log = &self.instances[instance].log;
        let count = || async { Some(log.lock().unwrap().matches(text).count()) };
        self.wait_until(count, |count| *count >= times).await;
    }

    pub async fn wait_until<T, F: Future<Output = Option<T>>>(
        &self,
        observe: impl Fn() -> F,
        is_met: impl Fn(&T) -> bool,
    ) {
        let polling = async {
            loop {
                if observe().await.is_some_and(|seen| is_met(&seen)) {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(WAIT_LIMIT, polling).await;
        if waited.is_err() {
            self.print_logs();
            panic!("timed out waiting for a condition");
        }
    }
}
