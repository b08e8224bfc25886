//! Exchanges with peers that disconnect, do not listen or shut down.
//!
//! The tests guard against an unsafe retry, which follows if a request that a peer may have seen
//! counts as unsent, and against a shutdown that cuts off an open exchange.

use std::{net, rc, time};

use knapweedford::peer::{self, pool};
use tokio::sync::watch;

use crate::processes;

/// Time for which a call keeps running after the server has been asked to stop.
const CALL_DURATION: time::Duration = time::Duration::from_millis(300);

/// Acts as a peer that reads a request and then drops the connection.
async fn read_and_disconnect(listener: tokio::net::TcpListener) {
    let (conn, _) = listener.accept().await.unwrap();
    let mut conn = h2::server::handshake(conn).await.unwrap();
    let (req, _res) = conn.accept().await.unwrap().unwrap();
    let mut body = req.into_body();
    tokio::select! {
        data = body.data() => assert!(data.is_some()),
        _ = conn.accept() => {}
    }
}

/// Starts an exchange with a peer that disconnects after it has read the request.
fn failure_after_disconnect() -> pool::Failure {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let local = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = tokio::net::TcpListener::bind(local).await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(read_and_disconnect(listener));
        peer::Pool::new("token").exchange(address, "/call", &7u32).await.err().unwrap()
    })
}

#[test]
fn disconnect_after_request() {
    assert!(matches!(failure_after_disconnect(), pool::Failure::Sent(_)));
}

#[test]
fn connection_refused() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let failure = tokio::task::LocalSet::new().block_on(&runtime, async {
        let (_socket, address) = processes::refusing_address();
        peer::Pool::new("token").exchange(address, "/call", &7u32).await.err().unwrap()
    });
    assert!(matches!(failure, pool::Failure::Unsent(_)), "{failure:?}");
}

#[test]
fn open_exchange_completed() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let local = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = tokio::net::TcpListener::bind(local).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let handle = rc::Rc::new(async move |mut incoming: peer::IncomingRequest| {
            stop.send_replace(true);
            tokio::time::sleep(CALL_DURATION).await;
            incoming.reply.send(&8u32).await.unwrap();
            incoming.reply.finish();
        });
        let serving = tokio::task::spawn_local(peer::serve(
            listener,
            crate::agents::clients(),
            "token".into(),
            handle,
            stopped,
        ));
        let mut reader = peer::Pool::new("token").exchange(address, "/call", &7u32).await.unwrap();
        assert_eq!(reader.next::<u32>().await.unwrap(), Some(8));
        assert_eq!(reader.next::<u32>().await.unwrap(), None);
        serving.await.unwrap();
    });
}
