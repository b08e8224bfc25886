//! A gateway as a process of its own, request by request.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateways::{Does, HOST, KEY, Site, call, config, list},
    processes::{agent, request, until},
    store::Mode,
};

#[test]
fn passed_unchanged() {
    let site = Site::start(1, false);
    let answer = site.ask("POST", "/once/a?b=c", "id-1");
    assert_eq!((answer.status, answer.body.as_deref()), (200, Ok("by i-0")));
    assert_eq!(answer.headers["x-knapweedford-response-seal"], "seal-i-0");
    let got = &site.servers[0].got()[0];
    assert_eq!((got.url.as_str(), got.body.as_str()), ("/once/a?b=c", "a body"));
    let header = |name: &str| got.headers.get(name).map(String::as_str);
    assert_eq!(header("host"), Some(HOST));
    assert_eq!(header("x-knapweedford-request-id"), Some("id-1"));
    assert_eq!(header("x-knapweedford-expect-instance"), Some("i-0"));
    assert_eq!(header("x-knapweedford-tenant-id"), Some("w1"));
    assert_eq!(header("x-knapweedford-request-priority"), Some("2"));
    assert_eq!(header("api-key"), None);
    let left: u64 = header("x-knapweedford-deadline-ms").unwrap().parse().unwrap();
    assert!((1500..=2000).contains(&left), "the route's time is passed on: {left}");
}

#[test]
fn refused_by_name() {
    let site = Site::start(1, false);
    assert_eq!(site.ask("GET", "/nowhere/", "id-1").status, 404);
    let wrong = [("Host", HOST), ("Api-Key", "no"), ("X-Knapweedford-Request-Id", "id-2")];
    assert_eq!(call(site.gateway.process.at, "GET", "/read/", &wrong).status, 401);
    let bare = [("Host", HOST), ("Api-Key", KEY)];
    assert_eq!(call(site.gateway.process.at, "GET", "/read/", &bare).status, 400);
    assert_eq!(site.arrivals(), 0);
}

#[test]
fn no_configuration() {
    let site = Site::start(1, true);
    assert!(!site.gateway.ready());
    assert_eq!(site.ask("GET", "/read/", "id-1").status, 503);
    site.store.put("op", "config", &config(1, "llm"));
    until("the configuration is in force", || site.gateway.ready().then_some(()));
    assert_eq!(site.ask("GET", "/read/", "id-2").status, 200);
}

#[test]
fn stream_resumed() {
    let site = Site::start(2, false);
    site.servers[0].does(Does::Break);
    for n in 0..6 {
        let answer = site.ask("POST", "/stream/a", &format!("id-{n}"));
        let whole: String = (1..=6).map(|n| format!("id: {n}\ndata: x{n}\n\n")).collect();
        assert_eq!((answer.status, answer.body), (200, Ok(whole)));
    }
}

#[test]
fn stream_cut() {
    let site = Site::start(1, false);
    site.servers[0].does(Does::Break);
    let answer = site.ask("POST", "/stream/a", "id-1");
    assert!(answer.body.is_err(), "a stream that broke off must not look whole");
}

#[test]
fn ran_once() {
    let site = Site::start(2, false);
    site.servers.iter().for_each(|server| server.does(Does::Mix));
    assert_eq!(site.ask("POST", "/once/a", "id-1").status, 502);
    assert_eq!(site.arrivals(), 1, "what may have run is not sent again");
    site.servers.iter().for_each(|server| server.does(Does::Refuse));
    let answer = site.ask("POST", "/once/a", "id-2");
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(site.arrivals(), 3, "what did not run goes to a second server");
    site.servers.iter().for_each(|server| server.does(Does::Fail));
    let answer = site.ask("POST", "/once/a", "id-3");
    assert_eq!((answer.status, answer.body.as_deref()), (500, Ok("failed")));
    assert_eq!(site.arrivals(), 4);
}

#[test]
fn read_repeated() {
    let site = Site::start(2, false);
    site.servers[0].does(Does::Fail);
    for n in 0..4 {
        assert_eq!(site.ask("GET", "/read/a", &format!("id-{n}")).status, 200);
    }
}

/// A request that ran and failed is not called one that did not run, although no other server
/// takes it.
#[test]
fn ran_then_refused() {
    let site = Site::start(2, false);
    site.servers[0].does(Does::Fail);
    site.servers[1].does(Does::Refuse);
    for n in 0..6 {
        let answer = site.ask("GET", "/read/a", &format!("id-{n}"));
        let tried = site.servers[0]
            .got()
            .iter()
            .any(|got| got.headers.get("x-knapweedford-request-id") == Some(&format!("id-{n}")));
        assert_eq!(answer.status, if tried { 500 } else { 503 }, "request {n}");
    }
}

/// A server whose address another one has now.
#[test]
fn address_reused() {
    let site = Site::start(2, false);
    let reused = site.servers[0].named("i-old");
    list(&site.store, &reused, reused.addr, "ready");
    thread::sleep(Duration::from_millis(1500));
    for n in 0..6 {
        assert_eq!(site.ask("POST", "/once/a", &format!("id-{n}")).status, 200);
    }
}

#[test]
fn time_is_up() {
    let site = Site::start(1, false);
    site.servers[0].does(Does::Wait);
    let since = Instant::now();
    let answer = site.ask("POST", "/once/a", "id-1");
    assert_eq!(answer.status, 504);
    let took = since.elapsed();
    assert!(took < Duration::from_millis(2500), "the route allows 2 s: {took:?}");
}

#[test]
fn body_too_large() {
    let site = Site::start(1, false);
    let headers = [("Host", HOST), ("Api-Key", KEY), ("X-Knapweedford-Request-Id", "id-1")];
    let req = request("POST", site.gateway.process.at, "/once/a", &headers, &"x".repeat(2000));
    let res = agent().run(req);
    assert_eq!(res.map(|res| res.status().as_u16()).ok(), Some(413));
    assert_eq!(site.arrivals(), 0);
}

/// A server leaves, and its state is read just before the store goes away.
#[test]
fn leaving_server() {
    let site = Site::start(2, false);
    list(&site.store, &site.servers[0], site.servers[0].addr, "draining");
    thread::sleep(Duration::from_millis(1800));
    site.store.set_mode(Mode::Refusing(503));
    let before = site.servers[0].got().len();
    for n in 0..6 {
        assert_eq!(site.ask("GET", "/read/a", &format!("id-{n}")).status, 200);
    }
    assert_eq!(site.servers[0].got().len(), before);
}

#[test]
fn zone_out() {
    let site = Site::start(1, false);
    site.store.put("op", "evacuate/z", "{}");
    until("the zone gets nothing", || {
        (site.ask("GET", "/read/a", "id-1").status == 503).then_some(())
    });
    site.store.remove("op", "evacuate/z");
    until("the zone is back", || (site.ask("GET", "/read/a", "id-2").status == 200).then_some(()));
}

/// The store turns silent, then refuses, then has lost its history; changes still come through,
/// and none goes back.
#[test]
fn store_trouble() {
    let site = Site::start(1, false);
    for (number, mode) in
        [Mode::Silent, Mode::Refusing(503), Mode::Refusing(429)].into_iter().enumerate()
    {
        site.store.set_mode(mode);
        thread::sleep(Duration::from_millis(1200));
        assert_eq!(site.ask("GET", "/read/a", "id-1").status, 200, "{mode:?}");
        let service = if number % 2 == 0 { "gone" } else { "llm" };
        site.store.put("op", "config", &config(10 + 10 * number as u64, service));
        site.store.drop_history();
        site.store.set_mode(Mode::Normal);
        let wanted = if service == "llm" { 200 } else { 503 };
        until("the change is in force", || {
            (site.ask("GET", "/read/a", "id-2").status == wanted).then_some(())
        });
        site.store.put("op", "config", &config(15 + 10 * number as u64, "llm"));
        until("the next is in force", || {
            (site.ask("GET", "/read/a", "id-3").status == 200).then_some(())
        });
    }
    site.store.put("op", "config", &config(3, "gone"));
    thread::sleep(Duration::from_millis(1200));
    assert_eq!(site.ask("GET", "/read/a", "id-4").status, 200, "an old version is not taken");
    assert!(site.store.call_count("/-/rows-feed") > 0);
}

/// Rows that other writers left beside the servers'.
#[test]
fn strange_rows() {
    let site = Site::start(1, false);
    for (number, value) in ["", "{}", "[1]", "\u{1}", r#"{"service":7}"#].iter().enumerate() {
        site.store.put("servers", &format!("x-{number}"), value);
    }
    thread::sleep(Duration::from_millis(1200));
    assert_eq!(site.ask("GET", "/read/a", "id-1").status, 200);
}

#[test]
fn graceful_stop() {
    let mut site = Site::start(1, false);
    site.servers[0].does(Does::Wait);
    let (at, waiting) = (site.gateway.process.at, Instant::now());
    let asking = thread::spawn(move || {
        let headers = [("Host", HOST), ("Api-Key", KEY), ("X-Knapweedford-Request-Id", "id-1")];
        call(at, "POST", "/once/a", &headers).status
    });
    until("the request is at its server", || (site.arrivals() == 1).then_some(()));
    site.gateway.process.signal("TERM");
    until("the balancer is told", || (!site.gateway.ready()).then_some(()));
    assert_eq!(asking.join().unwrap(), 504, "a request in flight is answered");
    assert!(waiting.elapsed() < Duration::from_secs(3));
    until("the process ends", || (!site.gateway.process.runs()).then_some(()));
    assert!(site.gateway.logs().contains("msg=stopped"));
}

#[test]
fn settings_reloaded() {
    let mut site = Site::start(1, false);
    site.gateway.process.signal("HUP");
    until("the reload is logged", || {
        site.gateway.logs().contains("settings reloaded").then_some(())
    });
    assert_eq!(site.ask("GET", "/read/a", "id-1").status, 200);
    assert!(site.gateway.process.runs());
}

/// From a request's identity to its cause, by the log alone.
#[test]
fn cause_logged() {
    let site = Site::start(2, false);
    site.servers.iter().for_each(|server| server.does(Does::Refuse));
    site.ask("POST", "/once/a", "id-refused");
    site.servers.iter().for_each(|server| server.does(Does::Wait));
    site.ask("POST", "/once/a", "id-late");
    site.servers.iter().for_each(|server| server.does(Does::Break));
    site.ask("POST", "/stream/a", "id-cut");
    let line = |id: &str| {
        let of = format!("req={id} ");
        until("the line is written", || {
            site.gateway.logs().lines().find(|line| line.contains(&of)).map(str::to_owned)
        })
    };
    let refused = line("id-refused");
    assert!(
        refused.contains("why=not-run") && refused.matches("=refused").count() == 2,
        "{refused}"
    );
    let late = line("id-late");
    assert!(late.contains("why=late") && late.contains("=timeout"), "{late}");
    let cut = line("id-cut");
    assert!(cut.contains("why=broken-off") && cut.matches("=broken@").count() == 2, "{cut}");
    assert!([refused, late, cut].iter().all(|line| line.contains("version=1 ")));
}
