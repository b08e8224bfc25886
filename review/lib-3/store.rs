//! Stand-in for the platform's metadata store: rows, transactions and feeds, as PROTOCOL.md has them.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{self, Json};

#[derive(Clone)]
struct Row {
    value: String,
    ver: u64,
    tombstone: bool,
}

/// Table, part and key.
type Key = (String, String, String);

#[derive(Default)]
struct Content {
    ver: u64,
    rows: BTreeMap<Key, Row>,
}

/// A store that runs until the process ends.
pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Self> {
        let content = Content { ver: 1, ..Content::default() };
        let store = Arc::new(Self {
            content: Mutex::new(content),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for conn in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(conn));
            }
        });
        store
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut content = self.content.lock().unwrap();
        content.ver += 1;
        let row = Row { value: net::base64(value.as_bytes()), ver: content.ver, tombstone: false };
        content.rows.insert((table.into(), String::new(), key.into()), row);
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut content = self.content.lock().unwrap();
        content.ver += 1;
        let row = Row { value: String::new(), ver: content.ver, tombstone: true };
        content.rows.insert((table.into(), String::new(), key.into()), row);
        self.changed.notify_all();
    }

    fn serve(&self, mut conn: TcpStream) {
        let _ = conn.set_nodelay(true);
        let mut reader = BufReader::new(conn.try_clone().unwrap());
        while let Ok(Some(head)) = net::read_head(&mut reader) {
            let Ok(body) = net::read_body(&mut reader, &head) else { return };
            let (_, target) = head.target();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let query: BTreeMap<&str, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(key, value)| (key, net::percent_decode(value)))
                .collect();
            thread::sleep(Duration::from_millis(4));
            let (status, answer) = match path {
                "/-/rows-get" => (200, self.get(&query)),
                "/-/rows-feed" => self.feed(&query),
                "/-/rows-tx" => self.transact(&body),
                _ => (404, "{}".into()),
            };
            if net::write_json(&mut conn, status, &answer).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn get(&self, query: &BTreeMap<&str, String>) -> String {
        let field = |name| query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (field("table"), field("part"), field("from"));
        let content = self.content.lock().unwrap();
        let rows = content
            .rows
            .iter()
            .filter(|((t, p, k), row)| *t == table && *p == part && *k >= from && !row.tombstone);
        let rows: Vec<String> = rows.map(|(key, row)| row_json(key, row)).collect();
        let (rows, ver, now) = (rows.join(","), content.ver, self.now_ms());
        format!("{{\"rows\":[{rows}],\"truncated\":false,\"ver\":{ver},\"now_ms\":{now}}}")
    }

    fn feed(&self, query: &BTreeMap<&str, String>) -> (u16, String) {
        let number = |name| query.get(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let table = query.get("table").cloned().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut content = self.content.lock().unwrap();
        loop {
            let after = number("after");
            let mut rows: Vec<(u64, String)> = content
                .rows
                .iter()
                .filter(|((t, _, _), row)| *t == table && row.ver > after)
                .map(|(key, row)| (row.ver, row_json(key, row)))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort();
                let rows: Vec<String> = rows.into_iter().map(|(_, row)| row).collect();
                let (rows, ver, now) = (rows.join(","), content.ver, self.now_ms());
                let answer = format!("{{\"rows\":[{rows}],\"ver\":{ver},\"now_ms\":{now}}}");
                return (200, answer);
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".into()) };
        let key = |row: &Json| -> Key {
            (
                row.get("table").text().into(),
                row.get("part").text().into(),
                row.get("key").text().into(),
            )
        };
        let mut content = self.content.lock().unwrap();
        let holds = call.get("precondition").list().iter().all(|row| {
            let known = content.rows.get(&key(row)).filter(|known| !known.tombstone);
            known.map_or(0, |known| known.ver) == row.get("ver").number().unwrap_or(0)
        });
        if !holds {
            return (412, "{\"rows\":[]}".into());
        }
        let changed = call.get("puts").list().iter().chain(call.get("remove").list());
        if changed.clone().any(|row| ["op", "servers"].contains(&row.get("table").text())) {
            return (403, "{}".into());
        }
        content.ver += 1;
        let ver = content.ver;
        for row in call.get("remove").list() {
            content.rows.insert(key(row), Row { value: String::new(), ver, tombstone: true });
        }
        for row in call.get("puts").list() {
            let value = row.get("value").text().to_owned();
            content.rows.insert(key(row), Row { value, ver, tombstone: false });
        }
        self.changed.notify_all();
        (200, format!("{{\"ver\":{ver},\"now_ms\":{}}}", self.now_ms()))
    }
}

fn row_json((table, part, key): &Key, row: &Row) -> String {
    let Row { value, ver, tombstone } = row;
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"value\":\"{value}\",\
         \"ver\":{ver},\"tombstone\":{tombstone}}}"
    )
}
