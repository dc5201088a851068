//! A connection whose reader gets the bytes of one request at a time, and which is charged for them.

use crate::budget::{self, Budget, Charge};
use async_std::io::{Read, Write};
use async_std::net::TcpStream;
use futures::{future, ready};
use http_types::Request;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Bytes that a request may use for its head, in addition to its body.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of bytes read from the socket ahead of the parser.
const READ_AHEAD_BYTES: usize = 8 << 10;
/// Memory of a request beside its bytes: buffers of the parser and the task's state.
pub const REQUEST_BYTES: usize = 32 << 10;
/// Memory for each byte of a request: a buffer that grows by doubling may be twice as large.
const BUFFER_FACTOR: usize = 2;
/// Bytes of a request that are charged at a time.
const CHARGED_BLOCK_BYTES: usize = 4 << 10;
/// Time in which a connection counts as recent: the client gets on with what it does.
const RECENT_TIME: Duration = Duration::from_secs(1);
/// End of a request's head, and of trailers.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// End of a line.
const LINE_END: &[u8] = b"\r\n";

/// A connection that ends each request where its head or `content-length` says, and keeps what
/// follows for the next request. The parser drops what it has read beyond a request.
#[derive(Clone)]
pub struct Stream {
    socket: TcpStream,
    /// Bytes that one request may have, without the framing of chunks.
    limit: usize,
    budget: Budget,
    state: Arc<Mutex<State>>,
}

struct State {
    /// Bytes that were read from the socket and not yet from this stream.
    buffer: Vec<u8>,
    /// Number of bytes at the start of `buffer` that were read from this stream.
    consumed: usize,
    /// Number of bytes of the current request that were read from this stream, without the framing
    /// of chunks.
    request_bytes: usize,
    part: Part,
    phase: Phase,
    /// When the phase began; while a response is sent, when the client last took some of it.
    since: Instant,
    /// Memory of the current request.
    charge: Option<Arc<Charge>>,
    /// Bytes of the request that are charged; `None` before the first one.
    charged_bytes: Option<usize>,
    /// Why the request can't be served for want of memory.
    refusal: Option<budget::Error>,
    /// Whether the request has more bytes than allowed.
    is_too_large: bool,
    /// Whether a request has been answered on this connection.
    has_served: bool,
    /// Whether the connection has to give way to another one.
    is_evicted: bool,
    /// Wakes the task that waits for an eviction.
    eviction: Option<Waker>,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for a request.
    Idle,
    /// A request arrives.
    Arriving,
    /// The application handles a request that has arrived.
    Handled,
    /// A response is sent.
    Responding,
}

/// Why a request in progress has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// Another connection takes its place.
    Place,
    /// Other requests need its memory.
    Memory,
}

/// How readily a connection gives way to another one; the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Precedence {
    /// It has sent no request in full for some time, or does not take the response.
    Stalled,
    /// It is kept by a client between two requests.
    KeptAlive,
    /// It began a moment ago to wait, to send or to take a response.
    Recent,
}

/// The part of the request that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// The head, and how many bytes of [`HEAD_END`] were read last.
    Head(usize),
    /// The body, and how many bytes of it remain.
    Body(usize),
    /// The line with the size of a chunk, and the size as far as it was read.
    ChunkSize(usize),
    /// A chunk and the end of its line, and how many bytes of it remain.
    Chunk(usize),
    /// The end of a body in chunks.
    Trailers,
}

/// The place that a connection takes. It does not keep the connection open.
pub struct Place(Arc<Mutex<State>>);

impl Place {
    /// Returns how readily the connection gives way to another one, and since when it has been doing
    /// what it does; `None` if it can't, as the application handles its request.
    pub fn precedence(&self, now: Instant) -> Option<(Precedence, Instant)> {
        let state = self.state();
        let precedence = match state.phase {
            Phase::Handled => return None,
            Phase::Idle if state.has_served => Precedence::KeptAlive,
            _ if now.saturating_duration_since(state.since) < RECENT_TIME => Precedence::Recent,
            _ => Precedence::Stalled,
        };
        Some((precedence, state.since))
    }

    /// Lets the connection give way to another one. Returns false if the application handles its
    /// request.
    pub fn evict(&self) -> bool {
        let mut state = self.state();
        if state.charge.as_ref().is_some_and(|charge| !charge.evict()) {
            return false;
        }
        state.is_evicted = true;
        state.eviction.take().into_iter().for_each(Waker::wake);
        true
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Part {
    /// Returns how many of the next bytes count for the size of the request.
    fn counted(self, count: usize) -> usize {
        match self {
            Part::Head(_) => count,
            Part::Body(remaining) => count.min(remaining),
            Part::Chunk(remaining) => count.min(remaining.saturating_sub(LINE_END.len())),
            Part::ChunkSize(_) | Part::Trailers => 0,
        }
    }
}

impl State {
    fn new() -> State {
        State {
            buffer: Vec::new(),
            consumed: 0,
            request_bytes: 0,
            part: Part::Head(0),
            phase: Phase::Idle,
            since: Instant::now(),
            charge: None,
            charged_bytes: None,
            refusal: None,
            is_too_large: false,
            has_served: false,
            is_evicted: false,
            eviction: None,
        }
    }
}

impl Stream {
    /// Creates a stream whose requests may have bodies of this size in bytes and are charged to the
    /// budget.
    pub fn new(socket: TcpStream, max_body_bytes: usize, budget: Budget) -> Stream {
        let limit = MAX_HEAD_BYTES + max_body_bytes;
        Stream { socket, limit, budget, state: Arc::new(Mutex::new(State::new())) }
    }

    /// Waits for the first byte of the next request. Returns false at the end of the connection.
    pub async fn wait_for_request(&self) -> bool {
        let filled = future::poll_fn(|cx| {
            let mut state = self.state();
            if state.has_buffered() {
                Poll::Ready(Ok(true))
            } else {
                self.poll_fill(&mut state, cx)
            }
        });
        filled.await.unwrap_or(false)
    }

    /// Starts to read a request. Returns false if the connection has to give way to another one.
    pub fn begin_request(&self) -> bool {
        let mut state = self.state();
        state.request_bytes = 0;
        state.part = Part::Head(0);
        state.charge = Some(Arc::new(self.budget.charge()));
        state.charged_bytes = None;
        state.refusal = None;
        state.is_too_large = false;
        state.begin(Phase::Arriving);
        !state.is_evicted
    }

    /// Starts to read the body of a request whose head was read. Returns false if the body is
    /// too large, or the request has none and there is no memory to handle it.
    pub fn begin_body(&self, request: &Request) -> bool {
        let is_chunked = request.header("transfer-encoding").is_some();
        let length = request.len().unwrap_or_default();
        let mut state = self.state();
        state.part = if is_chunked { Part::ChunkSize(0) } else { Part::Body(length) };
        state.is_too_large = length > self.limit - state.request_bytes;
        !state.is_too_large && (state.part != Part::Body(0) || state.begin_handling().is_ok())
    }

    /// Returns the memory of the current request.
    pub fn charge(&self) -> Option<Arc<Charge>> {
        self.state().charge.clone()
    }

    /// Records that a response to the current request exists, of this size in bytes. Returns false if
    /// there is no memory to send it.
    pub fn begin_response(&self, bytes: usize) -> bool {
        let mut state = self.state();
        state.begin(Phase::Responding);
        let charge = state.charge.as_ref();
        charge.is_none_or(|charge| charge.begin_response(REQUEST_BYTES + bytes).is_ok())
    }

    /// Ends the current request and releases its memory.
    pub fn end_request(&self) {
        let mut state = self.state();
        state.has_served |= state.phase == Phase::Responding;
        state.charge = None;
        state.begin(Phase::Idle);
    }

    /// Returns whether the current request has more bytes than allowed.
    pub fn is_too_large(&self) -> bool {
        self.state().is_too_large
    }

    /// Returns why the current request can't be served for want of memory.
    pub fn refusal(&self) -> Option<budget::Error> {
        self.state().refusal
    }

    /// Returns whether a response to the current request exists.
    pub fn is_answered(&self) -> bool {
        self.state().phase == Phase::Responding
    }

    /// Returns once a request has not arrived within `max_time`, or a client has taken nothing of a
    /// response for as long.
    pub async fn wait_until_overdue(&self, max_time: Duration) {
        loop {
            let remaining = {
                let state = self.state();
                match state.phase {
                    Phase::Handled => max_time,
                    _ => max_time.saturating_sub(state.since.elapsed()),
                }
            };
            if remaining.is_zero() {
                return;
            }
            async_std::task::sleep(remaining).await;
        }
    }

    /// Returns once the connection or its request has to give way to others.
    pub async fn wait_for_eviction(&self) -> Eviction {
        future::poll_fn(|cx| {
            let mut state = self.state();
            if state.is_evicted {
                return Poll::Ready(Eviction::Place);
            }
            state.eviction = Some(cx.waker().clone());
            match &state.charge {
                Some(charge) => charge.poll_evicted(cx).map(|()| Eviction::Memory),
                None => Poll::Pending,
            }
        })
        .await
    }

    /// Returns a handle that tells and decides whether the connection gives way to another one.
    pub fn place(&self) -> Place {
        Place(self.state.clone())
    }

    /// Returns whether it is known that the next byte belongs to the next request.
    pub fn is_at_end(&self) -> bool {
        self.state().part == Part::Body(0)
    }

    /// Returns whether bytes of a further request have been read from the socket.
    pub fn has_further_request(&self) -> bool {
        let state = self.state();
        state.part == Part::Body(0) && state.has_buffered()
    }

    /// Closes the sending side, and discards what arrives until the peer closes its side too.
    /// Closing a socket with unread bytes resets the connection, and the peer may lose the
    /// response.
    pub async fn linger(&mut self) {
        let _ = self.socket.shutdown(Shutdown::Write); // the peer may have closed
        let _ = async_std::io::copy(&mut self.socket, &mut async_std::io::sink()).await;
    }

    /// Reads from the socket to the end of the buffer. The result is false at the end.
    fn poll_fill(&self, state: &mut State, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut chunk = [0; READ_AHEAD_BYTES];
        let count = ready!(Pin::new(&mut &self.socket).poll_read(cx, &mut chunk))?;
        state.buffer.extend_from_slice(&chunk[..count]);
        Poll::Ready(Ok(count > 0))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn begin(&mut self, phase: Phase) {
        self.phase = phase;
        self.since = Instant::now();
    }

    /// Records that the request has arrived in full.
    fn begin_handling(&mut self) -> io::Result<()> {
        let bytes = REQUEST_BYTES + self.request_bytes * BUFFER_FACTOR;
        let charged = self.charge.as_ref().map_or(Ok(()), |charge| charge.begin_handling(bytes));
        if let Err(error) = charged {
            self.refusal = Some(error);
            return Err(io::Error::other(error));
        }
        self.begin(Phase::Handled);
        Ok(())
    }

    /// Charges what the request holds with further bytes.
    fn poll_charge(&mut self, cx: &mut Context<'_>, bytes: usize) -> Poll<io::Result<()>> {
        let needed = self.request_bytes + bytes;
        let charged = self.charged_bytes.unwrap_or_default();
        if self.charged_bytes.is_some() && needed <= charged {
            return Poll::Ready(Ok(()));
        }
        let Some(charge) = &self.charge else { return Poll::Ready(Ok(())) };
        let block = (needed - charged).next_multiple_of(CHARGED_BLOCK_BYTES);
        let fixed = if self.charged_bytes.is_none() { REQUEST_BYTES } else { 0 };
        match ready!(charge.poll_grow(cx, fixed + block * BUFFER_FACTOR)) {
            Ok(()) => {
                self.charged_bytes = Some(charged + block);
                Poll::Ready(Ok(()))
            }
            Err(error) => {
                self.refusal = Some(error);
                Poll::Ready(Err(io::Error::other(error)))
            }
        }
    }

    fn has_buffered(&self) -> bool {
        self.consumed < self.buffer.len()
    }

    /// Returns the error for a request with more bytes than allowed.
    fn refuse(&mut self) -> io::Error {
        self.is_too_large = true;
        io::Error::other("the request is too large")
    }

    /// Returns whether buffered bytes can be taken. The parser needs all trailers at once, since it
    /// never asks for the rest of them.
    fn is_ready(&mut self) -> bool {
        if self.part != Part::Trailers {
            return self.has_buffered();
        }
        let Some(length) = trailers_length(&self.buffer[self.consumed..]) else { return false };
        self.part = Part::Body(length);
        true
    }

    /// Returns how many bytes can be moved to a target of this size. Some may belong to the next part.
    fn max_count(&self, target_bytes: usize, limit: usize) -> usize {
        let buffered = self.buffer.len() - self.consumed;
        target_bytes.min(buffered).min(limit - self.request_bytes)
    }

    /// Moves buffered bytes of the current request to `target`.
    fn take(&mut self, target: &mut [u8], limit: usize) -> usize {
        let max_count = self.max_count(target.len(), limit);
        let part = self.part;
        let buffered = &self.buffer[self.consumed..];
        let count = match &mut self.part {
            Part::Head(matched) => {
                let (count, is_end) = head_length(&buffered[..max_count], matched);
                if is_end {
                    self.part = Part::Body(0); // until the parsed head says more
                }
                count
            }
            Part::Body(remaining) => {
                let count = max_count.min(*remaining);
                *remaining -= count;
                count
            }
            Part::ChunkSize(size) => {
                let (count, is_end) = chunk_size_length(&buffered[..max_count], size);
                if is_end && *size == 0 {
                    self.part = Part::Trailers;
                } else if is_end {
                    self.part = Part::Chunk(size.saturating_add(LINE_END.len()));
                }
                count
            }
            Part::Chunk(remaining) => {
                let count = max_count.min(*remaining);
                *remaining -= count;
                if *remaining == 0 {
                    self.part = Part::ChunkSize(0);
                }
                count
            }
            Part::Trailers => 0, // `is_ready` makes it a body of known length
        };
        target[..count].copy_from_slice(&buffered[..count]);
        self.consumed += count;
        self.request_bytes += part.counted(count);
        if !self.has_buffered() {
            self.buffer = Vec::new(); // an idle connection holds no memory
            self.consumed = 0;
        }
        count
    }
}

/// Returns how many of the bytes belong to the head, and whether it ends there. `matched` is how
/// many bytes of [`HEAD_END`] came last.
fn head_length(bytes: &[u8], matched: &mut usize) -> (usize, bool) {
    for (index, byte) in bytes.iter().enumerate() {
        *matched = match byte {
            byte if *byte == HEAD_END[*matched] => *matched + 1,
            b'\r' => 1,
            _ => 0,
        };
        if *matched == HEAD_END.len() {
            return (index + 1, true);
        }
    }
    (bytes.len(), false)
}

/// Returns how many of the bytes belong to the line with the size of a chunk, and whether it ends
/// there. `size` is the size that was read so far.
fn chunk_size_length(bytes: &[u8], size: &mut usize) -> (usize, bool) {
    for (index, byte) in bytes.iter().enumerate() {
        match char::from(*byte).to_digit(16) {
            Some(digit) => *size = size.saturating_mul(16).saturating_add(digit as usize),
            None if *byte == b'\n' => return (index + 1, true),
            None => {}
        }
    }
    (bytes.len(), false)
}

/// Returns the length of the trailers and the empty line after them, if they are complete.
fn trailers_length(bytes: &[u8]) -> Option<usize> {
    if bytes.starts_with(LINE_END) {
        return Some(LINE_END.len());
    }
    let end = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    Some(end + HEAD_END.len())
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.state();
        if state.part == Part::Body(0) || buf.is_empty() {
            return Poll::Ready(Ok(0));
        }
        if state.is_too_large || state.request_bytes >= self.limit {
            return Poll::Ready(Err(state.refuse()));
        }
        while !state.is_ready() {
            if state.buffer.len() - state.consumed >= READ_AHEAD_BYTES {
                return Poll::Ready(Err(state.refuse()));
            }
            if !ready!(self.poll_fill(&mut state, cx))? {
                return Poll::Ready(match state.part {
                    Part::Head(_) => Ok(0),
                    _ => Err(io::ErrorKind::UnexpectedEof.into()),
                });
            }
        }
        if state.phase == Phase::Arriving {
            let bytes = state.part.counted(state.max_count(buf.len(), self.limit));
            ready!(state.poll_charge(cx, bytes))?;
        }
        let is_head = matches!(state.part, Part::Head(_));
        let count = state.take(buf, self.limit);
        if state.phase == Phase::Arriving && !is_head && state.part == Part::Body(0) {
            state.begin_handling()?;
        }
        Poll::Ready(Ok(count))
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.socket).poll_write(cx, buf))?;
        self.state().since = Instant::now();
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_close(cx)
    }
}
