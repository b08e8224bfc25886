//! In-memory stand-in for the users' metadata store, with the calls that the product makes.

use std::{
    collections::BTreeMap,
    net, sync, thread,
    time::{self, Duration},
};

use base64::Engine;

/// How the store answers calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Answers each call.
    Normal,
    /// Rejects each call with this status.
    Refusing(u16),
    /// Answers no call.
    Silent,
}

#[derive(Clone)]
struct Row {
    value: String,
    ver: u64,
    tombstone: bool,
}

struct State {
    mode: Mode,
    /// Number of times that the store was restored from a copy.
    era: u64,
    ver: u64,
    /// Changes up to this version are no longer in the history.
    dropped_up_to: u64,
    rows: BTreeMap<(String, String), Row>,
    calls: BTreeMap<String, u64>,
}

/// Content of the store at one moment.
pub struct Copy {
    ver: u64,
    rows: BTreeMap<(String, String), Row>,
}

/// Store that runs until the process ends.
#[derive(Clone)]
pub struct Store {
    /// Address on which the store listens.
    pub addr: net::SocketAddr,
    state: sync::Arc<(sync::Mutex<State>, sync::Condvar)>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let server = tiny_http::Server::http("127.0.0.1:0").expect("a port is free");
        let addr = server.server_addr().to_ip().expect("an IP address");
        let state = State {
            mode: Mode::Normal,
            era: 0,
            ver: 1,
            dropped_up_to: 0,
            rows: BTreeMap::new(),
            calls: BTreeMap::new(),
        };
        let store =
            Self { addr, state: sync::Arc::new((sync::Mutex::new(state), Default::default())) };
        let accepting = store.clone();
        thread::spawn(move || {
            for req in server.incoming_requests() {
                let store = accepting.clone();
                thread::spawn(move || store.answer(req));
            }
        });
        store
    }

    /// Writes a row, as another writer than the product does.
    pub fn put(&self, table: &str, key: &str, value: &(impl AsRef<[u8]> + ?Sized)) {
        let value = base64::engine::general_purpose::STANDARD.encode(value);
        self.change(|state| {
            state.ver += 1;
            let row = Row { value, ver: state.ver, tombstone: false };
            state.rows.insert((table.into(), key.into()), row);
        });
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.change(|state| {
            state.ver += 1;
            let row = Row { value: String::new(), ver: state.ver, tombstone: true };
            state.rows.insert((table.into(), key.into()), row);
        });
    }

    /// Sets how calls are answered.
    pub fn set_mode(&self, mode: Mode) {
        self.change(|state| state.mode = mode);
    }

    /// Drops the history of changes, so that calls for earlier ones get the status 410.
    pub fn drop_history(&self) {
        self.change(|state| state.dropped_up_to = state.ver);
    }

    /// Returns a copy of the present content.
    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().expect("no thread panics while it holds the state");
        Copy { ver: state.ver, rows: state.rows.clone() }
    }

    /// Replaces the content by that of an older copy: versions go back, and the era rises by one.
    pub fn restore(&self, copy: Copy) {
        self.change(|state| {
            state.era += 1;
            (state.ver, state.rows) = (copy.ver, copy.rows);
        });
    }

    /// Returns the number of calls of `path` so far.
    pub fn call_count(&self, path: &str) -> u64 {
        self.state
            .0
            .lock()
            .expect("no thread panics while it holds the state")
            .calls
            .get(path)
            .copied()
            .unwrap_or_default()
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.0.lock().expect("no thread panics while it holds the state"));
        self.state.1.notify_all();
    }

    fn answer(&self, mut req: tiny_http::Request) {
        let url = req.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let mode = {
            let mut state = self.state.0.lock().expect("no thread panics while it holds the state");
            *state.calls.entry(path.into()).or_default() += 1;
            state.mode
        };
        let table = query.get("table").copied().unwrap_or_default();
        let (status, body) = match (mode, path) {
            (Mode::Silent, _) => {
                thread::sleep(Duration::from_secs(5));
                return;
            }
            (Mode::Refusing(status), _) => (status, serde_json::json!({})),
            (Mode::Normal, "/-/rows-get") => (200, self.get(table)),
            (Mode::Normal, "/-/rows-feed") => {
                let number = |key| query.get(key).and_then(|n| n.parse().ok()).unwrap_or(0);
                self.feed(table, number("after"), Duration::from_millis(number("wait_ms")))
            }
            (Mode::Normal, "/-/rows-tx") => {
                let mut body = String::new();
                let read = std::io::Read::read_to_string(req.as_reader(), &mut body);
                read.expect("the body is readable text");
                self.transact(&serde_json::from_str(&body).expect("the body is JSON"))
            }
            _ => (404, serde_json::json!({})),
        };
        let era = {
            let state = self.state.0.lock().expect("no thread panics while it holds the state");
            state.era.to_string()
        };
        let era = tiny_http::Header::from_bytes("Store-Era", era).expect("the header is valid");
        let res = tiny_http::Response::from_string(body.to_string())
            .with_status_code(status)
            .with_header(era);
        // The caller may have closed the connection.
        let _ = req.respond(res);
    }

    fn get(&self, table: &str) -> serde_json::Value {
        let state = self.state.0.lock().expect("no thread panics while it holds the state");
        let rows =
            state.rows.iter().filter(|((row_table, _), row)| row_table == table && !row.tombstone);
        let rows: Vec<_> =
            rows.map(|((row_table, key), row)| row_json(row_table, key, row)).collect();
        serde_json::json!({ "rows": rows, "truncated": false, "ver": state.ver, "now_ms": 1 })
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, serde_json::Value) {
        let deadline = time::Instant::now() + wait;
        let mut state = self.state.0.lock().expect("no thread panics while it holds the state");
        loop {
            if after < state.dropped_up_to || after > state.ver {
                return (410, serde_json::json!({}));
            }
            let changed = state
                .rows
                .iter()
                .filter(|((row_table, _), row)| row_table == table && row.ver > after);
            let rows: Vec<_> =
                changed.map(|((row_table, key), row)| row_json(row_table, key, row)).collect();
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            if !rows.is_empty() || remaining.is_zero() {
                return (200, serde_json::json!({ "rows": rows, "ver": state.ver, "now_ms": 1 }));
            }
            state = self
                .state
                .1
                .wait_timeout(state, remaining)
                .expect("no thread panics while it holds the state")
                .0;
        }
    }

    fn transact(&self, call: &serde_json::Value) -> (u16, serde_json::Value) {
        let entries = |key: &str| call[key].as_array().cloned().unwrap_or_default();
        let (puts, removed) = (entries("puts"), entries("remove"));
        let key_of = |row: &serde_json::Value| {
            let text = |key: &str| row[key].as_str().unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        let mut holds = true;
        self.change(|state| {
            holds = entries("precondition").iter().all(|expected| {
                let row = state.rows.get(&key_of(expected)).filter(|row| !row.tombstone);
                expected["ver"].as_u64() == Some(row.map_or(0, |row| row.ver))
            });
            if !holds {
                return;
            }
            state.ver += 1;
            for row in removed {
                let tombstone = Row { value: String::new(), ver: state.ver, tombstone: true };
                state.rows.insert(key_of(&row), tombstone);
            }
            for put in puts {
                let value = put["value"].as_str().unwrap_or_default().to_owned();
                let row = Row { value, ver: state.ver, tombstone: false };
                state.rows.insert(key_of(&put), row);
            }
        });
        match holds {
            true => (200, serde_json::json!({ "ver": 1, "now_ms": 1 })),
            false => (412, serde_json::json!({ "rows": [] })),
        }
    }
}

fn row_json(table: &str, key: &str, row: &Row) -> serde_json::Value {
    serde_json::json!({
        "table": table, "part": "", "key": key, "value": row.value, "ver": row.ver,
        "tombstone": row.tombstone,
    })
}
