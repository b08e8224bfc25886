//! Rows of another writer in the registry of backend servers. They describe no server, and the
//! processes that read the registry follow the other rows.

use std::{net, thread, time::Duration};

use crate::{
    gateways::{self, Gateway, Server, Site},
    processes::wait_until,
    rank_agents::Group,
    store::Store,
};

/// Time in which gateways have read the registry at least once.
const READ_TIME: Duration = Duration::from_millis(1_800);

/// Writes rows like that of a server at `decoy`, each with one error.
fn put_rows(store: &Store, decoy: net::SocketAddr, more_fields: &str) -> usize {
    let valid = gateways::row(decoy, "ready", 1, more_fields);
    let decoy = decoy.to_string();
    let (ip, _) = decoy.split_once(':').unwrap();
    let nested = |depth| "[".repeat(depth) + &"]".repeat(depth);
    let replaced = |field: &str, by: &str| {
        assert!(valid.contains(field), "{field}");
        valid.replace(field, by)
    };
    let with_field = |field: String| replaced(r#""seq":1"#, &format!(r#""seq":1,{field}"#));
    let rows = [
        "[".repeat(30_000),
        nested(15_000),
        nested(200),
        with_field(format!(r#""models":{}"#, nested(15_000))),
        with_field(r#""models":{"a":"#.to_owned() + &nested(200) + "}"),
        with_field(r#""weight":1e999"#.into()),
        replaced(r#""slots":12"#, r#""slots":1e999"#),
        replaced(r#""slots":12"#, r#""slots":18446744073709551616"#),
        replaced(r#""seq":1"#, r#""seq":-1"#),
        replaced(r#""cold_remaining_ms":0"#, r#""cold_remaining_ms":1e300"#),
        replaced(r#""cold_remaining_ms":0"#, r#""cold_remaining_ms":-1e999"#),
        replaced(r#""born":1"#, r#""born":18446744073709551615"#),
        replaced(r#""born":1"#, r#""born":1e40"#),
        replaced(&decoy, &format!("{ip}:65536")),
        replaced(&decoy, &format!("{ip}:99999999999999999999")),
        replaced(&decoy, &format!("{ip}:-1")),
        replaced(&decoy, &format!("{ip}:0")),
        replaced(&decoy, "0.0.0.0:80"),
        replaced(r#""ready""#, r#""resting""#),
        replaced(r#""zone":"z""#, r#""zone":null"#),
        "null".into(),
        String::new(),
    ];
    for (n, row) in rows.iter().enumerate() {
        store.put("servers", &format!("foreign-{n}"), row);
    }
    store.put("servers", "foreign-bytes", &[0xff, 0xfe, 0x00, b'{']);
    store.put("servers", "foreign\nkey", &valid);
    rows.len() + 2
}

fn assert_served(site: &Site, decoy: &Server, case: &str) {
    for n in 0..4 {
        for (method, path) in [("POST", "/once/a"), ("POST", "/stream/a"), ("GET", "/read/a")] {
            let answer = site.send(method, path, &format!("{case}-{n}"));
            assert_eq!(answer.status, 200, "{case}, {path}: {answer:?}");
        }
    }
    assert_eq!(decoy.requests().len(), 0, "{case}: a row that describes no server was used");
}

/// Guards against gateways that end, or stop following the registry, or send requests to what a
/// foreign row names.
#[test]
fn gateways_unaffected() {
    let mut site = Site::start(2, false);
    let decoy = Server::start("i-decoy");
    let rows = put_rows(&site.store, decoy.addr, "");
    // A copy of a server's own row, which would be the newer incarnation at its address.
    let copy = gateways::row(site.servers[0].addr, "ready", 9_000_000_000_000_000, "");
    site.store.put("servers", "foreign-copy", &copy);
    let logged = || site.gateway.logs().matches("registry row ignored").count();
    wait_until("all rows are read", || (logged() > rows).then_some(()));
    assert_served(&site, &decoy, "rows-added");
    // Servers are selected at random.
    wait_until("the server whose row is copied is used", || {
        site.send("GET", "/read/a", "id");
        (site.servers[0].requests().len() > 2).then_some(())
    });
    thread::sleep(READ_TIME);
    assert_eq!(logged(), rows + 1, "each row is to be logged once");

    let joined = Server::start("i-joined");
    gateways::register(&site.store, &joined, joined.addr, "ready");
    site.servers.iter().for_each(|server| gateways::deregister(&site.store, server));
    wait_until("the registry is followed", || {
        (!joined.requests().is_empty()).then_some(()).or_else(|| {
            site.send("GET", "/read/a", "id");
            None
        })
    });
    assert_served(&site, &decoy, "server-joined");
    assert!(site.gateway.process.is_running());

    site.gateway = Gateway::start(site.store.addr);
    wait_until("another gateway is ready", || site.gateway.is_ready().then_some(()));
    wait_until("another gateway serves", || {
        (site.send("GET", "/read/a", "id").status == 200).then_some(())
    });
    assert_served(&site, &decoy, "gateway-started");
}

/// Guards against rank agents that end, or never know their group, because a foreign row names a rank
/// that the group does not have, or the rank of an engine.
#[test]
fn rank_agents_unaffected() {
    let store = Store::start();
    let mut group = Group::start(&store, 2);
    let decoy = net::SocketAddr::from(([127, 0, 0, 1], 9));
    for rank in ["0", "2", "1000000", "18446744073709551615"] {
        let member = format!(r#"{{"name":"g","epoch":1,"rank":{rank},"state":"open"}}"#);
        put_rows(&store, decoy, &format!(r#","group":{member},"size":2"#));
        for size in ["2", "18446744073709551615"] {
            let fields = format!(r#","group":{member},"size":{size}"#);
            let row = gateways::row(decoy, "ready", 1, &fields);
            // Of two engines with the same rank, the one that started later counts.
            store.put("servers", &format!("foreign-rank-{rank}-{size}"), &row);
        }
    }
    group.start_agents(&store);
    wait_until("an agent knows its group", || group.has_owner().then_some(()));
    thread::sleep(READ_TIME);
    assert!(group.agents.iter_mut().all(|agent| agent.is_running()));
}

/// Returns the fields of a row that name a rank of `group`.
fn member_fields(group: &str, rank: usize, ranks: usize) -> String {
    let member = format!(r#"{{"name":"{group}","epoch":1,"rank":{rank},"state":"open"}}"#);
    format!(r#","group":{member},"size":{ranks}"#)
}

/// Rows of a service that no configuration names, each with a later start than the servers.
fn unnamed_row(addr: net::SocketAddr, more_fields: &str) -> String {
    let row = gateways::row(addr, "ready", 3, more_fields);
    row.replace(r#""service":"llm""#, r#""service":"not-ours""#)
}

/// Guards against servers that get no requests since a row of an unknown service has their address.
/// Once a configuration names the service, its servers are used without another read of the registry.
#[test]
fn unnamed_service() {
    let site = Site::start(2, false);
    for (n, server) in site.servers.iter().enumerate() {
        site.store.put("servers", &format!("foreign-{n}"), &unnamed_row(server.addr, ""));
    }
    let decoy = Server::start("i-decoy");
    site.store.put("servers", "i-decoy", &unnamed_row(decoy.addr, ""));
    thread::sleep(READ_TIME);
    assert_served(&site, &decoy, "unnamed");
    assert_eq!(site.gateway.logs().matches("registry row ignored").count(), 3);
    let named = gateways::config(2, "llm")
        .replace(r#""services":["#, r#""services":[{"name":"not-ours","max_conns":100},"#);
    site.store.put("op", "config", &named.replace(r#""service":"llm""#, r#""service":"not-ours""#));
    wait_until("the servers of the service are used", || {
        site.send("GET", "/read/a", "id");
        (!decoy.requests().is_empty()).then_some(())
    });
}

/// Guards against passes with two maps, maps that never change and agents in the wrong group, because
/// a row of another service names a rank of the group or the address of an engine.
#[test]
fn unnamed_engines() {
    const RANKS: usize = 3;
    let settings = ["service: llm\n", ""];
    let rows: [fn(&Group) -> String; 5] = [
        |group| unnamed_row(group.address(1), &member_fields("g", 2, RANKS)),
        |group| unnamed_row(group.address(0), &member_fields("g", 2, RANKS)),
        |group| unnamed_row(group.address(2), &member_fields("g", 1, RANKS)),
        |group| unnamed_row(group.address(2), &member_fields("other", 0, 1)),
        |_| unnamed_row(([127, 0, 0, 1], 9).into(), &member_fields("g", 2, RANKS)),
    ];
    thread::scope(|scope| {
        for (n, row) in rows.into_iter().enumerate() {
            scope.spawn(move || {
                let store = Store::start();
                let mut group = Group::start(&store, RANKS);
                store.put("servers", "foreign", &row(&group));
                group.start_agents_with(&store, settings[n % settings.len()]);
                group.wait_for_change();
                group.agents[2].kill();
                group.wait_for_change();
                group.wait_for_change();
                assert!(group.mixed_passes().is_empty(), "row {n}: a pass began with two maps");
            });
        }
    });
}
