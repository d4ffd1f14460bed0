//! A load balancer for servers whose load shifts in milliseconds, and the
//! coordination parts that it is made of.
//!
//! The parts are pure decisions: they take a state, an event and the present
//! time and return what to do. [`admission`] grants the slots of targets,
//! [`ownership`] decides who may grant them, [`resource`] holds what operators
//! declare, and [`server`] runs them all as one entry instance.

mod config;
mod control;
mod demo;
mod entry;
mod http1;
mod instance;
mod macros;
mod names;
mod observe;
mod tables;

pub mod admission;
pub mod cli;
pub mod command;
pub mod dispatch;
pub mod error;
pub mod membership;
pub mod output;
pub mod ownership;
pub mod platform;
pub mod resource;
pub mod server;
pub mod settings;
pub mod units;

pub use names::{
    CallerName, InstanceId, PriorityName, ServiceName, ShardId, StartId, TargetId, ZoneName,
};
