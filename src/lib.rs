//! A load balancer for servers whose load changes within milliseconds, and the
//! coordination components that it is built from.
//!
//! The components are pure decision logic: they take a state, an event and the
//! current time and return the actions to perform. [`admission`] grants the slots
//! of targets, [`ownership`] decides which instance may grant them, [`resource`]
//! holds the resources that operators declare, and [`server`] runs all of them as
//! one entry instance.

pub mod account;
mod config;
mod control;
mod demo;
mod entry;
mod even_sequence;
mod http1;
mod instance;
mod macros;
mod names;
mod observe;
mod rollout;
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
