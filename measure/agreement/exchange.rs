//! Network overhead of one exchange between two processes beyond its frames.

use std::rc;

use anyhow::Context;
use knapweedford::{
    http, metrics, name, peer, settings, wire,
    wire::{frame, gossip},
};
use tokio::{io, net, sync, task};

const TOKEN: &str = "0123456789abcdef0123456789abcdef";

/// Estimated TCP segments of one exchange: three open the connection, four close it, and the
/// others carry data or acknowledge it.
const SEGMENTS: u64 = 14;

/// Bytes of the IP and TCP headers of one segment, with time stamps.
const SEGMENT_HEADER_BYTES: u64 = 52;

/// Returns the bytes of one exchange beyond its frames, in both directions: those of HTTP/2 are
/// counted, those of TCP and IP estimated.
pub fn overhead_bytes() -> anyhow::Result<u64> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let http2_bytes = task::LocalSet::new().block_on(&runtime, count_http2_bytes())?;
    Ok(http2_bytes + SEGMENTS * SEGMENT_HEADER_BYTES)
}

/// Counts the bytes of one exchange that passes through a relay.
async fn count_http2_bytes() -> anyhow::Result<u64> {
    let server = net::TcpListener::bind("127.0.0.1:0").await?;
    let relay = net::TcpListener::bind("127.0.0.1:0").await?;
    let (server_address, relay_address) = (server.local_addr()?, relay.local_addr()?);
    let (_stop, stopped) = sync::watch::channel(false);
    let echo = async |mut incoming: peer::IncomingRequest| {
        if let Ok(message) = incoming.decode::<gossip::Message>() {
            let _ = incoming.reply.send(&message).await;
        }
        incoming.reply.finish();
    };
    let clients = http::Clients::new(&settings::Machine::default(), &metrics::Page::new());
    task::spawn_local(peer::serve(server, clients, TOKEN.into(), rc::Rc::new(echo), stopped));
    let byte_counts = task::spawn_local(async move {
        let (mut client_stream, _) = relay.accept().await?;
        let mut server_stream = net::TcpStream::connect(server_address).await?;
        io::copy_bidirectional(&mut client_stream, &mut server_stream).await
    });
    let message = ping_message(relay_address);
    {
        let pool = peer::Pool::new(TOKEN);
        let sent = pool.exchange(relay_address, wire::GOSSIP_PATH, &message).await;
        let mut source =
            sent.map_err(|_| anyhow::anyhow!("the exchange with the test peer failed"))?;
        source.next::<gossip::Message>().await?.context("the test peer sent no answer")?;
        let _ = source.next::<gossip::Message>().await;
    }
    let (sent_bytes, received_bytes) = byte_counts.await??;
    Ok(sent_bytes + received_bytes - 2 * frame::encode(&message)?.len() as u64)
}

fn ping_message(peers: std::net::SocketAddr) -> gossip::Message {
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
