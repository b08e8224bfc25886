//! Stand-in for the platform's store: rows in tables, a version counter, and the feed of changes.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{json::Json, wire};

#[derive(Default)]
struct Rows {
    ver: u64,
    /// By table and key: the value in base64, `None` once it was dropped, and its version.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

/// Time that a transaction takes.
const TX_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let store = Self { rows: Arc::default(), started: Instant::now() };
        let serving = store.clone();
        wire::listen(addr, move |conn| {
            let store = serving.clone();
            wire::serve_requests(conn, move |message| store.answer(message))
        })?;
        Ok(store)
    }

    /// Writes a row, as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(wire::base64(value.as_bytes())));
    }

    /// Drops a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Returns the number of rows of a table.
    pub fn count(&self, table: &str) -> usize {
        let rows = self.rows.0.lock().unwrap();
        rows.rows.iter().filter(|((t, _), (value, _))| t == table && value.is_some()).count()
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        rows.rows.insert((table.to_owned(), key.to_owned()), (value, ver));
        changed.notify_all();
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn answer(&self, message: &wire::Message) -> Vec<u8> {
        std::thread::sleep(TX_TIME);
        let table = message.query("table").unwrap_or_default();
        match message.path() {
            "/-/rows-get" => {
                let from = message.query("from").unwrap_or_default();
                let rows = self.rows.0.lock().unwrap();
                self.list(&rows, &table, |key, value, _| key >= from.as_str() && value.is_some())
            }
            "/-/rows-feed" => {
                let number = |name| message.query(name).and_then(|text| text.parse().ok());
                let (after, wait_ms) =
                    (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
                let until = Instant::now() + Duration::from_millis(wait_ms);
                let (rows, changed) = &*self.rows;
                let mut rows = rows.lock().unwrap();
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    let has_news =
                        rows.rows.iter().any(|((t, _), (_, ver))| *t == table && *ver > after);
                    if has_news || left.is_zero() {
                        return self.list(&rows, &table, |_, _, ver| ver > after);
                    }
                    rows = changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            "/-/rows-tx" => {
                let Some(body) = Json::parse(&message.body) else {
                    return wire::json_answer(400, "", "{}");
                };
                let field = |row: &Json, name: &str| {
                    row.get(name).and_then(Json::text).unwrap_or_default().to_owned()
                };
                let list = |name: &str| body.get(name).map(Json::list).unwrap_or_default().to_vec();
                for row in list("puts") {
                    self.write(
                        &field(&row, "table"),
                        &field(&row, "key"),
                        Some(field(&row, "value")),
                    );
                }
                for row in list("remove") {
                    self.write(&field(&row, "table"), &field(&row, "key"), None);
                }
                let ver = self.rows.0.lock().unwrap().ver;
                wire::json_answer(
                    200,
                    "",
                    &format!(r#"{{"ver":{ver},"now_ms":{}}}"#, self.now_ms()),
                )
            }
            _ => wire::json_answer(404, "", "{}"),
        }
    }

    fn list(
        &self,
        rows: &Rows,
        table: &str,
        applies: impl Fn(&str, &Option<String>, u64) -> bool,
    ) -> Vec<u8> {
        let mut listed: Vec<_> = rows
            .rows
            .iter()
            .filter(|((t, key), (value, ver))| t == table && applies(key, value, *ver))
            .collect();
        listed.sort_by_key(|((_, key), _)| key.clone());
        let texts: Vec<String> = listed
            .into_iter()
            .map(|((table, key), (value, ver))| {
                let rest = match value {
                    Some(value) => format!(r#""value":"{value}""#),
                    None => r#""tombstone":true"#.to_owned(),
                };
                format!(r#"{{"table":"{table}","part":"","key":"{key}",{rest},"ver":{ver}}}"#)
            })
            .collect();
        let body = format!(
            r#"{{"rows":[{}],"truncated":false,"ver":{},"now_ms":{}}}"#,
            texts.join(","),
            rows.ver,
            self.now_ms()
        );
        wire::json_answer(200, "", &body)
    }
}
