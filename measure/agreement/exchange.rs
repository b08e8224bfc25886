//! What one exchange between processes costs on the wire beyond its frames.

use std::rc;

use anyhow::Context;
use knapweedford::{
    name, peer, wire,
    wire::{frame, gossip},
};
use tokio::{io, net, sync, task};

const TOKEN: &str = "0123456789abcdef0123456789abcdef";

/// TCP segments of one exchange: three to open, four to close, the rest with
/// data or alone to acknowledge it. Estimated.
const SEGMENTS: u64 = 14;

/// Bytes of IP and TCP headers of one segment, with time stamps.
const SEGMENT_HEADERS: u64 = 52;

/// Bytes of one exchange beyond its frames, both ways: h2 as counted, TCP and IP as estimated.
pub fn overhead() -> anyhow::Result<u64> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let streams = task::LocalSet::new().block_on(&runtime, count())?;
    Ok(streams + SEGMENTS * SEGMENT_HEADERS)
}

async fn count() -> anyhow::Result<u64> {
    let server = net::TcpListener::bind("127.0.0.1:0").await?;
    let relay = net::TcpListener::bind("127.0.0.1:0").await?;
    let (behind, front) = (server.local_addr()?, relay.local_addr()?);
    let (_stop, stopped) = sync::watch::channel(false);
    let answer = async |mut incoming: peer::IncomingRequest| {
        if let Ok(message) = incoming.decode::<gossip::Message>() {
            let _ = incoming.reply.send(&message).await;
        }
        incoming.reply.finish();
    };
    task::spawn_local(peer::serve(server, TOKEN.into(), rc::Rc::new(answer), stopped));
    let counted = task::spawn_local(async move {
        let (mut left, _) = relay.accept().await?;
        let mut right = net::TcpStream::connect(behind).await?;
        io::copy_bidirectional(&mut left, &mut right).await
    });
    let message = message(front);
    {
        let pool = peer::Pool::new(TOKEN);
        let sent = pool.exchange(front, wire::GOSSIP_PATH, &message).await;
        let mut source = sent.map_err(|_| anyhow::anyhow!("the exchange failed"))?;
        source.next::<gossip::Message>().await?.context("no answer")?;
        let _ = source.next::<gossip::Message>().await;
    }
    let (there, back) = counted.await??;
    Ok(there + back - 2 * frame::encode(&message)?.len() as u64)
}

fn message(peers: std::net::SocketAddr) -> gossip::Message {
    gossip::Message {
        from: gossip::Member {
            host: name::Host::new("h1"),
            zone: "z1".into(),
            peers,
            server: None,
            incarnation: 1,
            boot: 1,
            leaving: false,
            health: gossip::Health::Alive,
        },
        digest: gossip::Digest::default(),
        updates: Vec::new(),
        body: gossip::Body::Ping { seq: 1 },
    }
}
