//! A complete platform: the key-value service, the instance list and targets.

use std::time::Duration;

use crate::list::{self, ListStandin, ListedTarget};
use crate::store::{self, StoreStandin};
use crate::target::{self, TargetOptions, TargetStandin};

/// A running platform; its servers stop when it is dropped.
#[derive(Debug)]
pub struct Platform {
    /// Key-value service, empty at the start.
    pub store: StoreStandin,
    /// Instance list, which names every target.
    pub list: ListStandin,
    /// Targets in the order of their groups.
    pub targets: Vec<TargetStandin>,
}

/// A group of targets to start.
#[derive(Debug, Clone)]
pub struct TargetGroup {
    /// Service that the targets run.
    pub service: String,
    /// Availability zone of the targets.
    pub zone: String,
    /// Number of targets to start.
    pub count: usize,
    /// Processing time of each call.
    pub work: Duration,
}

impl Platform {
    /// Starts a platform with the given targets.
    ///
    /// # Errors
    /// The operating system's error when no port can be bound.
    pub async fn start(groups: &[TargetGroup]) -> std::io::Result<Self> {
        let mut platform = Self {
            store: store::start().await?,
            list: list::start().await?,
            targets: Vec::new(),
        };
        for group in groups {
            for number in 0..group.count {
                platform.start_target(group, number).await?;
            }
        }
        Ok(platform)
    }

    async fn start_target(&mut self, group: &TargetGroup, number: usize) -> std::io::Result<()> {
        let id = format!("{}-{}-{number}", group.service, group.zone);
        let options = TargetOptions {
            id: id.clone(),
            work: group.work,
            ..TargetOptions::default()
        };
        let target = target::start(options).await?;
        let listed = ListedTarget {
            id,
            service: group.service.clone(),
            zone: group.zone.clone(),
            address: target.server.address,
            leaving: false,
        };
        self.list.targets.change(|targets| targets.push(listed));
        self.targets.push(target);
        Ok(())
    }
}
