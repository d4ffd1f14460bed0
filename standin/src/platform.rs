//! The whole platform: the key-value service, the list and some targets.

use std::time::Duration;

use crate::list::{self, ListStandin, ListedTarget};
use crate::store::{self, StoreStandin};
use crate::target::{self, TargetOptions, TargetStandin};

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    /// The key-value service.
    pub store: StoreStandin,
    /// The instance list.
    pub list: ListStandin,
    /// The targets.
    pub targets: Vec<TargetStandin>,
}

/// A group of targets to start.
#[derive(Debug, Clone)]
pub struct TargetGroup {
    /// Service that they run.
    pub service: String,
    /// Availability zone that they stand in.
    pub zone: String,
    /// How many.
    pub count: usize,
    /// Time that each call takes.
    pub work: Duration,
}

impl Platform {
    /// Starts a platform with the given targets.
    ///
    /// # Errors
    /// The operating system's answer when a port can't be had.
    pub async fn start(groups: &[TargetGroup]) -> std::io::Result<Self> {
        let mut platform = Self {
            store: store::start().await?,
            list: list::start().await?,
            targets: Vec::new(),
        };
        for group in groups {
            for number in 0..group.count {
                platform.add(group, number).await?;
            }
        }
        Ok(platform)
    }

    async fn add(&mut self, group: &TargetGroup, number: usize) -> std::io::Result<()> {
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
