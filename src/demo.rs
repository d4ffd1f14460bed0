//! The `demo` command: a simulated platform and two instances in one process.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::Method;
use standin::platform::{Platform, TargetGroup};

use crate::error::Error;
use crate::names::{InstanceId, ZoneName};
use crate::observe::log;
use crate::output;
use crate::platform::http;
use crate::resource::{
    AvailabilityZone, AvailabilityZoneSpec, Caller, CallerSpec, PathRule, Priority, PrioritySpec,
    Rank, Resource, Service, ServiceSpec,
};
use crate::server::{self, ApplyReq, Running};
use crate::settings::{LogSettings, MembershipSettings, PlatformSettings, Settings};

/// Availability zones of the demo.
const ZONES: [&str; 3] = ["istanbul-1", "istanbul-2", "istanbul-3"];
/// Services of the demo: name, targets per zone, and processing time of a call.
const SERVICES: [(&str, usize, Duration); 3] = [
    ("certificates", 2, Duration::from_millis(5)),
    ("orders", 1, Duration::from_millis(20)),
    ("archive", 1, Duration::from_millis(200)),
];
/// Maximum wait until the demo is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks whether the demo is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the demo for `duration`, or until interrupted.
///
/// # Errors
/// [`Error::Start`] when a port is not available or the demo does not become ready.
pub(crate) fn run(duration: Option<Duration>) -> Result<(), Error> {
    server::runtime()?.block_on(async {
        let platform = start_platform().await?;
        let control = log::start(&LogSettings {
            level: "warn".to_owned(),
            ..LogSettings::default()
        });
        let instances = [
            Running::start(settings(&platform, "entry-1", ZONES[0]), control.clone())?,
            Running::start(settings(&platform, "entry-2", ZONES[1]), control)?,
        ];
        declare_resources(&instances[0]).await?;
        wait_until_ready(&instances).await?;
        print_instructions(&instances);
        wait_for_end(duration).await;
        for running in instances {
            running.stop().await;
        }
        Ok(())
    })
}

async fn start_platform() -> Result<Platform, Error> {
    let groups: Vec<_> = SERVICES
        .iter()
        .flat_map(|(service, count, work)| {
            ZONES.map(|zone| TargetGroup {
                service: (*service).to_owned(),
                zone: zone.to_owned(),
                count: *count,
                work: *work,
            })
        })
        .collect();
    Platform::start(&groups)
        .await
        .map_err(|err| Error::Start(err.to_string()))
}

fn settings(platform: &Platform, instance: &str, zone: &str) -> Settings {
    Settings {
        instance: InstanceId::from(instance),
        zone: ZoneName::from(zone),
        platform: PlatformSettings {
            store: platform.store.server.address,
            instance_list: platform.list.server.address,
            ..PlatformSettings::default()
        },
        membership: MembershipSettings {
            heartbeat: Duration::from_millis(200),
            ..MembershipSettings::default()
        },
        ..Settings::default()
    }
}

/// Declares the demo's resources through the operators' interface.
async fn declare_resources(instance: &Running) -> Result<(), Error> {
    let change = ApplyReq {
        expected: None,
        dry_run: false,
        resources: resources(),
    };
    let body = serde_json::to_vec(&change).map_err(|err| Error::Start(err.to_string()))?;
    let client = http::new_client();
    let sent = http::send(
        &client,
        Method::POST,
        instance.admin,
        "/v1/resources",
        body.into(),
        START_TIMEOUT,
    );
    let response = sent.await.map_err(|err| Error::Start(err.to_string()))?;
    if response.status.is_success() {
        return Ok(());
    }
    Err(Error::Refused {
        status: response.status.as_u16(),
        detail: String::from_utf8_lossy(&response.body).into_owned(),
    })
}

fn resources() -> Vec<Resource> {
    let priority = |name: &str, rank| {
        Resource::Priority(Priority {
            name: name.into(),
            spec: PrioritySpec { rank: Rank(rank) },
        })
    };
    let mut resources = vec![
        priority("urgent", 0),
        priority("normal", 1),
        priority("idle", 2),
        Resource::Caller(Caller {
            name: "anonymous".into(),
            spec: CallerSpec::default(),
        }),
        service("certificates", "urgent", Vec::new()),
        service("orders", "normal", Vec::new()),
        service("archive", "idle", vec![reports_rule()]),
    ];
    resources.extend(ZONES.map(|zone| {
        Resource::AvailabilityZone(AvailabilityZone {
            name: zone.into(),
            spec: AvailabilityZoneSpec::default(),
        })
    }));
    resources
}

fn service(name: &str, priority: &str, rules: Vec<PathRule>) -> Resource {
    Resource::Service(Service {
        name: name.into(),
        spec: ServiceSpec {
            hosts: vec![format!("{name}.example")],
            priority: priority.into(),
            rules,
            warm_up: Duration::ZERO,
            ..ServiceSpec::default()
        },
    })
}

/// A path that is read with POST and is safe to retry.
fn reports_rule() -> PathRule {
    PathRule {
        path: "/reports".to_owned(),
        methods: vec!["POST".to_owned()],
        priority: None,
        repeatable: Some(true),
    }
}

async fn wait_until_ready(instances: &[Running]) -> Result<(), Error> {
    let shards = SERVICES.len() * ZONES.len();
    let ready = async {
        while instances
            .iter()
            .any(|running| running.instance.tables.directory().claims.len() < shards)
        {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(START_TIMEOUT, ready)
        .await
        .map_err(|_| Error::Start("the demo's shards were not claimed in time".to_owned()))
}

fn print_instructions(instances: &[Running]) {
    let callers = |index: usize| instances[index].instance.tables.member.callers;
    let admin: SocketAddr = instances[0].admin;
    output::heading("Two instances, three availability zones and 12 targets run in this process.");
    output::line(&format!(
        "\nWhich address to use, and a call through each instance:\n  \
         curl 'http://{first}/v1/addresses?service=certificates&zone={zone}'\n  \
         curl -H 'host: certificates.example' http://{first}/status/4711\n  \
         curl -H 'host: orders.example' -d '{{\"clock\":\"cs-7\"}}' http://{second}/orders\n\n\
         What is declared, and the state of an instance:\n  \
         export WAGTAILSADDLE_ADDRESS={admin}\n  \
         wagtailsaddle get\n  \
         wagtailsaddle dump\n  \
         curl http://{admin}/metrics\n\n\
         Take an availability zone out:\n  \
         echo '{{\"kind\":\"AvailabilityZone\",\"name\":\"{zone}\",\"spec\":{{\"in_service\":false}}}}' | wagtailsaddle apply -\n",
        first = callers(0),
        second = callers(1),
        zone = ZONES[0],
    ));
    output::line("Interrupt to stop.");
}

async fn wait_for_end(duration: Option<Duration>) {
    let end = async {
        match duration {
            Some(duration) => tokio::time::sleep(duration).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = end => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
