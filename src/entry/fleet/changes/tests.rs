use super::*;
use crate::entry::fleet::members::InstanceStatus;
use crate::entry::fleet::message::Heartbeat;
use crate::entry::model::{Change, Configuration, Record};
use crate::entry::testing::instance_with;

/// Version of the configuration that only the peers have.
const VERSION: u64 = 9;

/// Pause between the parts of a response that arrives slowly.
const PART_PAUSE: Duration = Duration::from_millis(300);

/// Tells an instance of a peer that has the newer configuration at this revision.
fn receive_heartbeat_of(peer: SocketAddr, revision: u64, shared: &Shared) {
    let heartbeat = Heartbeat {
        zone: "a".into(),
        status: InstanceStatus {
            version: VERSION,
            revision,
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
}

/// Keeps a peer live that has the newer configuration.
async fn send_heartbeats_of(peer: SocketAddr, revision: u64, shared: Arc<Shared>) {
    loop {
        receive_heartbeat_of(peer, revision, &shared);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A configuration with this version and as many routes.
fn newer_configuration(shared: &Shared, routes: usize) -> Delta {
    let configuration = shared.state().replica.configuration().unwrap().clone();
    let route = configuration.routes[0].clone();
    let configuration = Configuration {
        version: VERSION,
        routes: vec![route; routes],
        ..(*configuration).clone()
    };
    let change = Change {
        key: "1".into(),
        revision: 100,
        record: Some(Record::Configuration(configuration.into())),
    };
    Delta {
        era: 0,
        revision: 100,
        complete: true,
        changes: vec![change],
    }
}

/// Waits until an instance has the newer configuration.
async fn has_newer_configuration(shared: &Shared) {
    let fetching = async {
        while shared.state().status.version != VERSION {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let fetched = tokio::time::timeout(Duration::from_secs(30), fetching).await;
    assert!(fetched.is_ok());
}

/// Connections between instances may go silent for good while new ones work.
#[tokio::test]
async fn changes_are_fetched_from_another_peer_if_one_never_answers() {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let serving = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peers = [&serving, &silent].map(|listener| listener.local_addr().unwrap());
    let (newer, shared) = (instance_with(&[]), instance_with(&[]));
    let delta = newer_configuration(&newer, 1);
    newer.state().apply(newer.now(), delta, "store");
    tokio::spawn(serve_requests(newer, serving));
    let accepted = tokio::spawn(async move {
        let connection = silent.accept().await.unwrap();
        std::future::pending::<()>().await;
        drop(connection);
    });
    for peer in peers {
        tokio::spawn(send_heartbeats_of(peer, 100, shared.clone()));
    }
    tokio::spawn(pull_changes(shared.clone()));
    has_newer_configuration(&shared).await;
    accepted.abort();
}

/// The link of the peer that all ask would carry all copies.
#[test]
fn instances_that_lack_the_same_changes_all_ask_one_peer() {
    let peers: Vec<SocketAddr> = (1..=4).map(|ip| ([127, 0, 1, ip], 7000).into()).collect();
    let asked: std::collections::HashSet<SocketAddr> = (0..20)
        .map(|_| {
            let shared = instance_with(&[]);
            for peer in &peers {
                receive_heartbeat_of(*peer, 100, &shared);
            }
            let now = shared.now();
            let avoided = Avoided::default();
            let sources = sources(&shared, &mut Comparisons::default(), now);
            let draw = rand::rng().random();
            source::choose(now, &sources, &avoided, draw)
                .unwrap()
                .address
        })
        .collect();
    assert!(asked.len() > 1, "all ask {asked:?}");
}

/// A large configuration takes long over a narrow link.
#[tokio::test]
async fn a_transfer_that_makes_progress_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let shared = instance_with(&[]);
    let response = message::encode_response(newer_configuration(&shared, 100)).unwrap();
    tokio::spawn(send_heartbeats_of(peer, 100, shared.clone()));
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let response = response.clone();
            tokio::spawn(async move {
                read_frame(&mut stream, MAX_REQUEST_BYTES).await?;
                stream
                    .write_u32(u32::try_from(response.len()).unwrap())
                    .await?;
                for part in response.chunks(response.len() / 4) {
                    tokio::time::sleep(PART_PAUSE).await;
                    stream.write_all(part).await?;
                }
                Ok::<_, std::io::Error>(())
            });
        }
    });
    tokio::spawn(pull_changes(shared.clone()));
    has_newer_configuration(&shared).await;
}

/// The peer with the newest changes sends them byte by byte.
#[tokio::test]
async fn a_slow_peer_delays_the_changes_that_others_have() {
    let slow = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let serving = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (newer, shared) = (instance_with(&[]), instance_with(&[]));
    for (listener, revision) in [(&slow, 101), (&serving, 100)] {
        let peer = listener.local_addr().unwrap();
        tokio::spawn(send_heartbeats_of(peer, revision, shared.clone()));
    }
    let delta = newer_configuration(&newer, 1);
    newer.state().apply(newer.now(), delta, "store");
    tokio::spawn(serve_requests(newer, serving));
    tokio::spawn(async move {
        let (mut stream, _) = slow.accept().await.unwrap();
        read_frame(&mut stream, MAX_REQUEST_BYTES).await?;
        stream.write_u32(8 << 20).await?;
        loop {
            stream.write_u8(0).await?;
            tokio::time::sleep(PART_PAUSE).await;
        }
        #[expect(unreachable_code, reason = "the type of the errors")]
        Ok::<_, std::io::Error>(())
    });
    tokio::spawn(pull_changes(shared.clone()));
    has_newer_configuration(&shared).await;
}

#[tokio::test]
async fn a_peer_sends_large_changes_to_few_at_a_time_and_turns_others_away() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let newer = instance_with(&[]);
    let delta = newer_configuration(&newer, LARGE_ROWS);
    newer.state().apply(newer.now(), delta, "store");
    tokio::spawn(serve_requests(newer, listener));
    let mut open = Vec::new();
    for _ in 0..MAX_LARGE_TRANSFERS {
        let mut stream = TcpStream::connect(peer).await.unwrap();
        let request = message::encode_request(Position::default());
        write_frame(&mut stream, request).await.unwrap();
        // The transfer lasts until the connection is closed.
        read_frame(&mut stream, MAX_FRAME).await.unwrap();
        open.push(stream);
    }
    let fetch = || fetch_changes(peer, Position::default());
    assert_eq!(fetch().await.unwrap(), None);
    open.clear();
    let fetching = async { while fetch().await.unwrap().is_none() {} };
    let freed = tokio::time::timeout(Duration::from_secs(30), fetching).await;
    assert!(freed.is_ok());
}
