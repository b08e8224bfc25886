//! Connections of the HTTP client to backend servers.

use std::{io::Read, net, time::Duration};

use knapweedford::http::client::{self, Connection};

/// A request that the server has not accepted yet must not reach it after the caller has
/// disconnected. Closing the socket without a reset would leave the sent bytes readable.
#[test]
fn close_sends_reset() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut conn = Connection::open(addr, Duration::from_secs(5)).await.unwrap();
        let req = client::request(hyper::Method::POST, addr, "/", Some(vec![b'x'; 100])).unwrap();
        let sending = tokio::time::timeout(Duration::from_millis(300), conn.send(req));
        assert!(
            sending.await.is_err(),
            "the server does not accept the connection, so no answer can arrive"
        );
        drop(conn);
        // The aborted task closes its socket when the runtime polls it the next time.
        tokio::time::sleep(Duration::from_millis(100)).await;
    });
    let (mut socket, _) = listener.accept().unwrap();
    let result = socket.read_to_end(&mut Vec::new());
    assert_eq!(result.map_err(|err| err.kind()), Err(std::io::ErrorKind::ConnectionReset));
}
