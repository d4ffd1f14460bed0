use super::*;
use crate::entry::fleet::message::Heartbeat;
use crate::entry::testing::instance_with;

/// Version of the configuration that only the peers have.
const VERSION: u64 = 9;

/// Keeps a peer live that has the newer configuration.
async fn send_heartbeats_of(peer: SocketAddr, shared: Arc<Shared>) {
    loop {
        let heartbeat = Heartbeat {
            zone: "a".into(),
            status: InstanceStatus {
                version: VERSION,
                revision: 100,
                ..InstanceStatus::default()
            },
            reports: Vec::new(),
            member: None,
            cases: Vec::new(),
            evidence: Vec::new(),
            limits: Vec::new(),
            leaving: Vec::new(),
        };
        let now = shared.now();
        shared.state().receive_heartbeat(now, peer, &heartbeat);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Connections between instances may go silent for good while new ones work.
#[tokio::test]
async fn changes_are_fetched_from_another_peer_if_one_never_answers() {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let serving = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peers = [&serving, &silent].map(|listener| listener.local_addr().unwrap());
    let (newer, shared) = (instance_with(&[]), instance_with(&[]));
    {
        let now = newer.now();
        let mut state = newer.state();
        let configuration = state.replica.configuration().unwrap();
        let configuration = crate::entry::model::Configuration {
            version: VERSION,
            ..(**configuration).clone()
        };
        let record = crate::entry::model::Record::Configuration(configuration.into());
        let change = crate::entry::model::Change {
            key: "1".into(),
            revision: 100,
            record: Some(record),
        };
        let delta = Delta {
            era: 0,
            revision: 100,
            complete: true,
            changes: vec![change],
        };
        state.apply(now, delta, "store");
    }
    tokio::spawn(serve_requests(newer, serving));
    let accepted = tokio::spawn(async move {
        let connection = silent.accept().await.unwrap();
        std::future::pending::<()>().await;
        drop(connection);
    });
    for peer in peers {
        tokio::spawn(send_heartbeats_of(peer, shared.clone()));
    }
    tokio::spawn(pull_changes(shared.clone()));
    let fetching = async {
        while shared.state().status.version != VERSION {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let fetched = tokio::time::timeout(Duration::from_secs(30), fetching).await;
    assert!(fetched.is_ok());
    accepted.abort();
}
