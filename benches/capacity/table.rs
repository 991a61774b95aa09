use {
    super::measure::{resident_bytes, timed},
    clementinefold::{
        control::State,
        key::Key,
        route,
        wire::control::{
            change, operator_command, AssignRange, Change, OpenSession, OperatorCommand, Server, SetServers,
        },
    },
    serde_json::json,
};

/// Number of hosts at full size.
const HOSTS: u64 = 4400;

/// Returns the state of a cluster that has a server of each service on each host, with the ranges of the divided
/// service spread over the hosts.
pub fn build_state(hosts: u64, ranges: u64) -> State {
    let calls = json!([{ "name": "any", "method": "*", "path": "/" }]);
    let schema = json!({ "cluster": "bench", "services": [
        { "name": "divided", "divided_by_key": true, "calls": calls },
        { "name": "undivided", "calls": calls },
    ] });
    let mut state = State::default();
    let mut index = 0;
    let mut apply = |state: &mut State, body| {
        index += 1;
        let change = Change {
            proposed_at_ms: 0,
            body: Some(body),
        };
        state.apply(index, &change);
        index
    };
    let command = OperatorCommand {
        command_id: "bench".into(),
        base: Some(state.revision().to_wire()),
        body: Some(operator_command::Body::ApplySchema(schema.to_string())),
    };
    apply(&mut state, change::Body::OperatorCommand(command));
    let mut sessions = Vec::new();
    for host in 0..hosts {
        let open = OpenSession {
            host: format!("host-{host}"),
            peer_address: format!("10.0.{}.{}:7113", host / 250, host % 250),
            failure_domain: format!("domain-{}", host % 14),
            region: format!("region-{}", host % 5),
            ..OpenSession::default()
        };
        let session = apply(&mut state, change::Body::OpenSession(open));
        let servers = ["divided", "undivided"]
            .map(|service| server(service, host))
            .to_vec();
        apply(
            &mut state,
            change::Body::SetServers(SetServers {
                session,
                servers,
                ..SetServers::default()
            }),
        );
        sessions.push((session, host));
    }
    for range in 0..ranges {
        let (session, host) = sessions[(range % hosts) as usize];
        let assign = AssignRange {
            service: "divided".into(),
            start: if range == 0 {
                Vec::new().into()
            } else {
                key(range).into()
            },
            end: (range + 1 < ranges).then(|| key(range + 1).into()),
            session,
            server: server("divided", host).address,
            reason: "bench".into(),
        };
        apply(&mut state, change::Body::AssignRange(assign));
    }
    state
}

fn server(service: &str, host: u64) -> Server {
    Server {
        service: service.into(),
        address: format!(
            "10.0.{}.{}:{}",
            host / 250,
            host % 250,
            if service == "divided" { 7150 } else { 7151 }
        ),
        incarnation: format!("{host:016x}"),
        slots: 12,
        connections: 130,
        checks_fencing: true,
        leaving: false,
        cold: false,
    }
}

/// Returns the start of a range, in the format of the account numbers of the first deployment.
fn key(range: u64) -> Vec<u8> {
    format!("SK31{:020}", range * 1_000_000).into_bytes()
}

/// Prints the memory of the table, the time to copy it, which a daemon does for each batch of changes, and the cost of
/// its image.
pub fn memory_and_copies() {
    println!("hosts ranges  bytes-in-all  copy-us  image-bytes  image-us  read-us");
    for (hosts, ranges) in [(10, 10), (HOSTS, 10), (HOSTS, 44_000), (HOSTS, 440_000)] {
        let bytes_before = resident_bytes("self");
        let state = build_state(hosts, ranges);
        let bytes = resident_bytes("self") - bytes_before;
        let (copy_us, copy) = timed(|| state.clone());
        drop(copy);
        let (image_us, image) = timed(|| state.to_image());
        let (read_us, restored) = timed(|| State::from_image(&image));
        assert!(restored.is_some());
        println!(
            "{hosts} {ranges}  {bytes}  {copy_us:.0}  {}  {image_us:.0}  {read_us:.0}",
            image.len()
        );
    }
}

/// Prints the time to route one call by its key, and the time to list the servers of an undivided service.
pub fn routes() {
    println!("hosts ranges  divided-us  undivided-us");
    for (hosts, ranges) in [(3, 10), (440, 4400), (HOSTS, 44_000)] {
        let state = build_state(hosts, ranges);
        let (divided_us, ()) = timed(|| {
            for i in 0..100_000 {
                let key = Key::new(key(i * 7919 % ranges));
                std::hint::black_box(route::route_by_key(&state, None, "divided", &key));
            }
        });
        let (undivided_us, ()) = timed(|| {
            for _ in 0..500 {
                std::hint::black_box(route::candidates(&state, "undivided", "domain-1"));
            }
        });
        println!(
            "{hosts} {ranges}  {:.2}  {:.2}",
            divided_us / 1e5,
            undivided_us / 500.0
        );
    }
}
