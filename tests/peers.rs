//! Exchanges with a peer that breaks off.

use std::{net, rc, time};

use knapweedford::peer::{self, pool};
use tokio::sync::watch;

/// Time that a call takes after the server was told to stop.
const WORK: time::Duration = time::Duration::from_millis(300);

/// A peer that reads a request and drops the connection.
async fn breaks(listener: tokio::net::TcpListener) {
    let (conn, _) = listener.accept().await.unwrap();
    let mut conn = h2::server::handshake(conn).await.unwrap();
    let (req, _res) = conn.accept().await.unwrap().unwrap();
    let mut body = req.into_body();
    tokio::select! {
        data = body.data() => assert!(data.is_some()),
        _ = conn.accept() => {}
    }
}

fn broken() -> pool::Failure {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let local = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = tokio::net::TcpListener::bind(local).await.unwrap();
        let at = listener.local_addr().unwrap();
        tokio::task::spawn_local(breaks(listener));
        peer::Pool::new("token").exchange(at, "/call", &7u32).await.err().unwrap()
    })
}

#[test]
fn request_seen() {
    assert!(matches!(broken(), pool::Failure::Sent(_)));
}

#[test]
fn nobody_there() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let failure = tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        drop(listener);
        peer::Pool::new("token").exchange(at, "/call", &7u32).await.err().unwrap()
    });
    assert!(matches!(failure, pool::Failure::Unsent(_)));
}

#[test]
fn stream_finished() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let local = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = tokio::net::TcpListener::bind(local).await.unwrap();
        let at = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let handle = rc::Rc::new(async move |mut incoming: peer::IncomingRequest| {
            stop.send_replace(true);
            tokio::time::sleep(WORK).await;
            incoming.reply.send(&8u32).await.unwrap();
            incoming.reply.finish();
        });
        let serving =
            tokio::task::spawn_local(peer::serve(listener, "token".into(), handle, stopped));
        let mut source = peer::Pool::new("token").exchange(at, "/call", &7u32).await.unwrap();
        assert_eq!(source.next::<u32>().await.unwrap(), Some(8));
        assert_eq!(source.next::<u32>().await.unwrap(), None);
        serving.await.unwrap();
    });
}
