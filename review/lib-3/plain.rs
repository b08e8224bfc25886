//! Stand-in for a worker of a plain service: answers each request after a while.

use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::net;
use crate::store::Store;
use crate::Record;

/// `heartbeat_ms` of the site.
const BEAT: Duration = Duration::from_millis(1_200);
const WORK: Duration = Duration::from_millis(30);

pub fn start(
    listener: TcpListener,
    n: usize,
    zone: &'static str,
    store: &Arc<Store>,
    record: &Arc<Record>,
) {
    let name = format!("i-plain{n}");
    let addr = listener.local_addr().unwrap();
    let (store, record) = (Arc::clone(store), Arc::clone(record));
    let beating = name.clone();
    thread::spawn(move || {
        for seq in 0.. {
            let row = format!(
                "{{\"service\":\"booking-core\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\
                 \"seq\":{seq},\"born\":1700000000000}}"
            );
            store.put("servers", &beating, &row);
            thread::sleep(BEAT);
        }
    });
    thread::spawn(move || {
        for conn in listener.incoming().flatten() {
            let (name, record) = (name.clone(), Arc::clone(&record));
            thread::spawn(move || {
                let _ = serve(conn, &name, &record);
            });
        }
    });
}

fn serve(mut conn: TcpStream, name: &str, record: &Record) -> std::io::Result<()> {
    conn.set_nodelay(true)?;
    let mut reader = BufReader::new(conn.try_clone()?);
    while let Some(head) = net::read_head(&mut reader)? {
        net::read_body(&mut reader, &head)?;
        let id = head.header("x-knapweedford-request-id").unwrap_or("");
        record.line(&format!("worker {name} runs request {id}"));
        thread::sleep(WORK);
        let seal = format!("{name}.{id}");
        let headers =
            [("X-Knapweedford-Request-Id", id), ("X-Knapweedford-Response-Seal", seal.as_str())];
        net::write_answer(&mut conn, 200, &headers, b"the schedule of a household")?;
    }
    Ok(())
}
