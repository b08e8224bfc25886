//! Limits on the memory and connections that a process holds for its clients, over all its ports.
//!
//! Every connection counts with [`CONNECTION_BYTES`], and what exceeds them is charged to the
//! connection as it arrives: bodies, answers, large heads. Where room is short, the client with the
//! highest product of memory and lag makes room: its body is refused, or its connection closed. The
//! lag of a client is how long ago it would have sent or read the same at [`MIN_BYTES_PER_S`].
//! Clients whose requests are served and who read their answers have none.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time,
};

use tokio::{sync::Notify, time::Instant};

use crate::{metrics, settings::Machine};

/// Memory that counts for each open connection, in bytes: a full receive buffer of the kernel, the
/// buffers of the HTTP library, a request head of 16 KiB, and the tasks.
pub const CONNECTION_BYTES: usize = 64 << 10;
/// Receive buffer of a client's connection in the kernel, in bytes. The kernel allots twice that
/// for its own bookkeeping.
pub const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Receive buffer of a connection on which a large body arrives, in bytes.
pub const LARGE_RECEIVE_BUFFER_BYTES: usize = 128 << 10;
/// Send buffer of a client's connection in the kernel, in bytes.
pub const SEND_BUFFER_BYTES: usize = 16 << 10;
/// Rate at which a client that sends or reads is never asked to make room.
const MIN_BYTES_PER_S: f64 = 16.0 * 1024.0;
/// Shortest lag of a client that is asked to make room, so that one that has just connected can
/// send its request.
const MIN_LAG: time::Duration = time::Duration::from_millis(100);
/// Fraction of the memory for bodies and answers that large answers leave to others.
const LARGE_ANSWER_RESERVE: f64 = 0.25;
/// Shortest time between two log lines about clients that make room or are refused.
const LOG_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time after which an answer that found no room asks for it again.
const ROOM_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// The error of a request for memory where no room can be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("The memory for clients is in use; send it again later.")]
pub struct NoMemory;

/// What a client does on its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// It is idle, or sends a request head.
    Head,
    /// It sends a request body.
    Body,
    /// It waits for its answer, or reads it.
    Answer,
}

impl Stage {
    fn label(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Body => "body",
            Self::Answer => "answer",
        }
    }
}

/// One open connection.
struct Holder {
    port: &'static str,
    /// Memory held for it; 0 once it was asked to make room.
    bytes: usize,
    stage: Stage,
    /// Time at which the client would have sent or read the same at [`MIN_BYTES_PER_S`]; its lag is the
    /// time since then.
    behind_since: Instant,
    /// Whether an answer waits for the client to read, or holds a part of its bytes while it waits for
    /// room.
    blocked: bool,
    /// Lag when the client had last read all that there was.
    lag_before_block: time::Duration,
    eviction: Arc<Eviction>,
}

impl Holder {
    /// Returns the lag of a client that may be asked to make room.
    fn lag(&self, now: Instant) -> Option<time::Duration> {
        let may_make_room = self.bytes > 0 && (self.stage != Stage::Answer || self.blocked);
        let lag = now.saturating_duration_since(self.behind_since);
        may_make_room.then_some(lag).filter(|lag| *lag >= MIN_LAG)
    }

    /// Credits the client with `bytes` that it has sent or read.
    fn credit(&mut self, bytes: usize, now: Instant) {
        let earned = time::Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_S);
        self.behind_since = (self.behind_since + earned).min(now);
    }

    /// Records whether an answer waits for the client. Its lag does not grow while none does.
    fn set_blocked(&mut self, blocked: bool, now: Instant) {
        match (self.blocked, blocked) {
            (false, true) => {
                self.behind_since = now.checked_sub(self.lag_before_block).unwrap_or(now);
            }
            (true, false) => {
                self.lag_before_block = now.saturating_duration_since(self.behind_since);
            }
            _ => {}
        }
        self.blocked = blocked;
    }
}

/// Tells a connection that it is to make room.
#[derive(Default)]
struct Eviction {
    requested: AtomicBool,
    /// Whether the client was sending a body, which is then refused with an answer.
    during_body: AtomicBool,
    notify: Notify,
}

#[derive(Default)]
struct State {
    used_bytes: usize,
    next_id: u64,
    holders: BTreeMap<u64, Holder>,
    connections: BTreeMap<&'static str, usize>,
    logged_at: Option<Instant>,
    /// Decisions since the last log line.
    unlogged: u64,
}

/// The clients of a process, and the memory held for them.
pub struct Clients {
    limit_bytes: usize,
    /// Most memory that bodies and answers may take.
    content_limit_bytes: usize,
    state: Mutex<State>,
    metrics: metrics::Clients,
}

impl Clients {
    /// Creates the limits that fit `machine`; they are reported on `page`.
    pub fn new(machine: &Machine, page: &metrics::Page) -> Arc<Self> {
        let metrics = metrics::Clients::new(page);
        metrics.set_memory_limit(machine.client_memory_bytes());
        Arc::new(Self {
            limit_bytes: machine.client_memory_bytes(),
            content_limit_bytes: machine.client_content_bytes(),
            state: Mutex::default(),
            metrics,
        })
    }

    /// Admits a new connection to `port`, which may have `max_connections`; a slower client makes
    /// room where that is necessary. Returns `None` if there is none.
    pub fn admit(self: &Arc<Self>, port: &'static str, max_connections: usize) -> Option<Client> {
        let now = Instant::now();
        let mut state = self.lock();
        let open = state.connections.get(port).copied().unwrap_or_default();
        let has_place = open < max_connections
            || self.evict(&mut state, now, 0.0, |holder| holder.port == port);
        let admitted = has_place
            && self.make_room(&mut state, CONNECTION_BYTES, self.limit_bytes, 0.0, now).is_ok();
        if !admitted {
            self.metrics.count_refused(port, "connection");
            if let Some(decisions) = state.log_turn(now) {
                log::warn!(port, open, decisions; "connection refused: no room for it");
            }
            return None;
        }
        state.used_bytes += CONNECTION_BYTES;
        let id = state.next_id;
        state.next_id += 1;
        let eviction = Arc::<Eviction>::default();
        state.holders.insert(
            id,
            Holder {
                port,
                bytes: CONNECTION_BYTES,
                stage: Stage::Head,
                behind_since: now,
                blocked: false,
                lag_before_block: time::Duration::ZERO,
                eviction: Arc::clone(&eviction),
            },
        );
        *state.connections.entry(port).or_default() += 1;
        self.metrics.set_connections(port, state.connections[port]);
        self.metrics.set_memory(state.used_bytes);
        Some(Client {
            clients: Arc::clone(self),
            id,
            eviction,
            is_at_head: AtomicBool::new(true),
            has_new_head: AtomicBool::new(true),
            receive_buffer_bytes: AtomicUsize::new(RECEIVE_BUFFER_BYTES),
        })
    }

    /// Makes room for `bytes` below `limit` for a client with this `cost`.
    fn make_room(
        &self,
        state: &mut State,
        bytes: usize,
        limit: usize,
        cost: f64,
        now: Instant,
    ) -> Result<(), NoMemory> {
        while state.used_bytes.saturating_add(bytes) > limit {
            if !self.evict(state, now, cost, |_| true) {
                return Err(NoMemory);
            }
        }
        Ok(())
    }

    /// Asks the client with the highest cost, which is memory times lag, to make room, if its cost is
    /// above `min_cost`; returns `false` if there is none. Its memory counts as free from now on.
    fn evict(
        &self,
        state: &mut State,
        now: Instant,
        min_cost: f64,
        applies: impl Fn(&Holder) -> bool,
    ) -> bool {
        let cost = |holder: &Holder| Some(holder.bytes as f64 * holder.lag(now)?.as_secs_f64());
        let candidates = state.holders.iter().filter(|(_, holder)| applies(holder));
        let candidates = candidates.filter_map(|(id, holder)| Some((*id, cost(holder)?)));
        let costliest = candidates.max_by(|(_, left), (_, right)| left.total_cmp(right));
        let Some((id, _)) = costliest.filter(|(_, cost)| *cost > min_cost) else { return false };
        let Some(holder) = state.holders.get_mut(&id) else { return false };
        let (port, stage, bytes) = (holder.port, holder.stage.label(), holder.bytes);
        let lag_ms = now.saturating_duration_since(holder.behind_since).as_millis() as u64;
        holder.bytes = 0;
        holder.eviction.during_body.store(holder.stage == Stage::Body, Ordering::Relaxed);
        holder.eviction.requested.store(true, Ordering::Relaxed);
        holder.eviction.notify.notify_one();
        state.used_bytes -= bytes;
        self.metrics.count_closed(port, stage);
        if let Some(decisions) = state.log_turn(now) {
            let used = state.used_bytes;
            log::warn!(port, stage, bytes, lag_ms, used, decisions; "slow client makes room");
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the number of decisions since the last log line if it is time for another.
    fn log_turn(&mut self, now: Instant) -> Option<u64> {
        self.unlogged += 1;
        let is_due = self.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
        is_due.then(|| {
            self.logged_at = Some(now);
            std::mem::take(&mut self.unlogged)
        })
    }
}

/// One open connection of a client; it counts until this is dropped.
pub struct Client {
    clients: Arc<Clients>,
    id: u64,
    eviction: Arc<Eviction>,
    is_at_head: AtomicBool,
    /// Whether the client has begun a request head since [`take_new_head`](Self::take_new_head).
    has_new_head: AtomicBool,
    /// Size that the connection's receive buffer is to have; 0 once it has it.
    receive_buffer_bytes: AtomicUsize,
}

impl Client {
    /// Charges `bytes` to the client for content beyond what each connection counts with. A charge of
    /// nothing always succeeds.
    ///
    /// # Errors
    ///
    /// Fails if the client was asked to make room, or if no client that is slower than this one can
    /// make room.
    pub fn charge(self: &Arc<Self>, bytes: usize) -> Result<Charge, NoMemory> {
        let mut charge = Charge { client: Arc::clone(self), bytes: 0, is_large: false };
        charge.resize(bytes)?;
        Ok(charge)
    }

    /// Records that the client now sends a request head, or is idle.
    pub fn begin_head(&self) {
        self.begin(Stage::Head);
    }

    /// Records that the client now sends a request body.
    pub fn begin_body(&self) {
        self.begin(Stage::Body);
    }

    /// Records that the client now waits for its answer.
    pub fn begin_answer(&self) {
        self.begin(Stage::Answer);
    }

    /// Records that `bytes` of a body have arrived.
    pub fn record_received(&self, bytes: usize) {
        let now = Instant::now();
        self.update(|holder| holder.credit(bytes, now));
    }

    /// Records that the client has read `bytes` of an answer that had waited for it.
    pub fn record_read(&self, bytes: usize) {
        let now = Instant::now();
        self.update(|holder| {
            holder.credit(bytes, now);
            holder.set_blocked(false, now);
        });
    }

    /// Records that an answer waits for the client to read, or for room.
    pub fn record_blocked(&self) {
        let now = Instant::now();
        self.update(|holder| holder.set_blocked(true, now));
    }

    /// Whether the client is idle or sends a request head.
    pub fn is_at_head(&self) -> bool {
        self.is_at_head.load(Ordering::Relaxed)
    }

    /// Returns whether the client has begun a request head since the last call.
    pub(super) fn take_new_head(&self) -> bool {
        self.has_new_head.swap(false, Ordering::Relaxed)
    }

    /// Sets the size that the connection's receive buffer is to have from its next read on.
    pub fn set_receive_buffer(&self, bytes: usize) {
        self.receive_buffer_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Returns the size that the connection's receive buffer is to have, if it has another one.
    pub(super) fn take_receive_buffer(&self) -> Option<usize> {
        Some(self.receive_buffer_bytes.swap(0, Ordering::Relaxed)).filter(|bytes| *bytes > 0)
    }

    /// Whether no other client that waits for or reads an answer holds more memory.
    pub fn has_largest_answer(&self) -> bool {
        let state = self.clients.lock();
        let bytes = |holder: &Holder| holder.bytes;
        let answering = state.holders.values().filter(|holder| holder.stage == Stage::Answer);
        let largest = answering.map(bytes).max().unwrap_or_default();
        state.holders.get(&self.id).map(bytes).unwrap_or_default() >= largest
    }

    /// Returns whether the client was asked to make room.
    pub fn is_evicted(&self) -> bool {
        self.eviction.requested.load(Ordering::Relaxed)
    }

    /// Returns whether the client was asked to make room while it sent a body.
    pub fn is_evicted_during_body(&self) -> bool {
        self.is_evicted() && self.eviction.during_body.load(Ordering::Relaxed)
    }

    /// Waits until the client is asked to make room.
    pub async fn evicted(&self) {
        while !self.is_evicted() {
            self.eviction.notify.notified().await;
        }
        // Passes the request on to another task that waits.
        self.eviction.notify.notify_one();
    }

    /// Waits before memory is asked for again, after `err`.
    ///
    /// # Errors
    ///
    /// Fails with `err` if the client was asked to make room.
    pub async fn wait_for_room(&self, err: NoMemory) -> Result<(), NoMemory> {
        if self.is_evicted() {
            return Err(err);
        }
        tokio::time::sleep(ROOM_CHECK_INTERVAL).await;
        Ok(())
    }

    fn begin(&self, stage: Stage) {
        let now = Instant::now();
        self.is_at_head.store(stage == Stage::Head, Ordering::Relaxed);
        self.has_new_head.fetch_or(stage == Stage::Head, Ordering::Relaxed);
        self.update(|holder| {
            (holder.stage, holder.behind_since, holder.blocked) = (stage, now, false);
            holder.lag_before_block = time::Duration::ZERO;
        });
    }

    fn update(&self, change: impl FnOnce(&mut Holder)) {
        if let Some(holder) = self.clients.lock().holders.get_mut(&self.id) {
            change(holder);
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let mut state = self.clients.lock();
        let Some(holder) = state.holders.remove(&self.id) else { return };
        state.used_bytes -= holder.bytes;
        let open = state.connections.entry(holder.port).or_default();
        *open = open.saturating_sub(1);
        self.clients.metrics.set_connections(holder.port, *open);
        self.clients.metrics.set_memory(state.used_bytes);
    }
}

/// Memory that is held for a client until this is dropped.
pub struct Charge {
    client: Arc<Client>,
    bytes: usize,
    /// Whether it is for a large answer, which leaves memory to others.
    is_large: bool,
}

impl Charge {
    /// Client that the memory is held for.
    pub fn client(&self) -> &Arc<Client> {
        &self.client
    }

    /// Like [`resize`](Self::resize), but waits until there is room.
    ///
    /// # Errors
    ///
    /// Fails if the client was asked to make room.
    pub async fn resize_when_possible(&mut self, bytes: usize) -> Result<(), NoMemory> {
        while let Err(err) = self.resize(bytes) {
            self.client.wait_for_room(err).await?;
        }
        Ok(())
    }

    /// Splits off all but `kept_bytes`.
    pub fn split_off(&mut self, kept_bytes: usize) -> Self {
        let bytes = self.bytes.saturating_sub(kept_bytes);
        self.bytes -= bytes;
        Self { client: Arc::clone(&self.client), bytes, is_large: self.is_large }
    }

    /// Sets whether the charge is for a large answer, which leaves a part of the memory to others.
    pub fn set_large(&mut self, is_large: bool) {
        self.is_large = is_large;
    }

    /// Adds `bytes`.
    ///
    /// # Errors
    ///
    /// Like [`Client::charge`].
    pub fn grow(&mut self, bytes: usize) -> Result<(), NoMemory> {
        let (clients, id) = (&self.client.clients, self.client.id);
        let now = Instant::now();
        let mut state = clients.lock();
        let holder = state.holders.get(&id).filter(|holder| holder.bytes > 0).ok_or(NoMemory)?;
        let (port, lag) = (holder.port, holder.lag(now).unwrap_or_default());
        let cost = (holder.bytes + bytes) as f64 * lag.as_secs_f64();
        let mut limit_bytes = clients.content_limit_bytes;
        if self.is_large {
            limit_bytes -= (limit_bytes as f64 * LARGE_ANSWER_RESERVE) as usize;
        }
        let made_room = clients.make_room(&mut state, bytes, limit_bytes, cost, now);
        if made_room.is_err() {
            clients.metrics.count_refused(port, "memory");
            if let Some(decisions) = state.log_turn(now) {
                let used = state.used_bytes;
                log::warn!(port, bytes, used, decisions; "memory for a client refused");
            }
            return made_room;
        }
        if let Some(holder) = state.holders.get_mut(&id) {
            holder.bytes += bytes;
        }
        state.used_bytes += bytes;
        self.bytes += bytes;
        clients.metrics.set_memory(state.used_bytes);
        Ok(())
    }

    /// Makes this a charge of at least `bytes`.
    ///
    /// # Errors
    ///
    /// Like [`Client::charge`].
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), NoMemory> {
        self.resize(bytes.max(self.bytes))
    }

    /// Makes this a charge of `bytes`.
    ///
    /// # Errors
    ///
    /// Like [`Client::charge`].
    pub fn resize(&mut self, bytes: usize) -> Result<(), NoMemory> {
        match bytes.checked_sub(self.bytes) {
            Some(0) => Ok(()),
            Some(more) => self.grow(more),
            None => {
                self.release(self.bytes - bytes);
                Ok(())
            }
        }
    }

    fn release(&mut self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.bytes -= bytes;
        let clients = &self.client.clients;
        let mut state = clients.lock();
        // The memory of a client that was asked to make room counts as free already.
        let Some(holder) = state.holders.get_mut(&self.client.id) else { return };
        if holder.bytes > 0 {
            holder.bytes -= bytes;
            state.used_bytes -= bytes;
            clients.metrics.set_memory(state.used_bytes);
        }
    }
}

impl fmt::Debug for Charge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Charge").field("bytes", &self.bytes).finish_non_exhaustive()
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}
