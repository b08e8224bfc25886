//! Connections to backend servers.

use std::{io::Read, net, time::Duration};

use knapweedford::http::client::{self, Connection};

/// A request that its server has not taken yet must not reach it once its caller has left.
#[test]
fn closing_resets() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut conn = Connection::open(addr, Duration::from_secs(5)).await.unwrap();
        let req = client::request(hyper::Method::POST, addr, "/", Some(vec![b'x'; 100])).unwrap();
        let sending = tokio::time::timeout(Duration::from_millis(300), conn.send(req));
        assert!(sending.await.is_err(), "nobody answers");
        drop(conn);
        // The aborted task closes its socket when it is next run.
        tokio::time::sleep(Duration::from_millis(100)).await;
    });
    let (mut socket, _) = listener.accept().unwrap();
    let read = socket.read_to_end(&mut Vec::new());
    assert_eq!(read.map_err(|err| err.kind()), Err(std::io::ErrorKind::ConnectionReset));
}
