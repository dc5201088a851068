//! A connection whose reader gets the bytes of one request at a time.

use async_std::io::{Read, Write};
use async_std::net::TcpStream;
use futures::{future, ready};
use http_types::Request;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

/// Bytes that a request may use for its head, in addition to its body.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of bytes read from the socket ahead of the parser.
const READ_AHEAD_BYTES: usize = 8 << 10;
/// End of a request's head, and of trailers.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// End of a line.
const LINE_END: &[u8] = b"\r\n";

/// A connection that ends each request where its head or `content-length` says, and keeps what
/// follows for the next request. The parser drops what it has read beyond a request.
#[derive(Clone)]
pub struct Stream {
    socket: TcpStream,
    /// Bytes that one request may have.
    limit: usize,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// Bytes that were read from the socket and not yet from this stream.
    buffer: Vec<u8>,
    /// Number of bytes at the start of `buffer` that were read from this stream.
    consumed: usize,
    /// Number of bytes of the current request that were read from this stream.
    request_bytes: usize,
    part: Part,
    /// Whether the reader waits for bytes of the request.
    is_waiting: bool,
    /// Whether the request has more bytes than allowed.
    is_too_large: bool,
    /// Whether a response to the request exists.
    is_answered: bool,
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

impl Default for Part {
    fn default() -> Part {
        Part::Head(0)
    }
}

impl Stream {
    /// Creates a stream whose requests may have bodies of this size in bytes.
    pub fn new(socket: TcpStream, max_body_bytes: usize) -> Stream {
        let limit = MAX_HEAD_BYTES + max_body_bytes;
        Stream { socket, limit, state: Arc::default() }
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

    /// Starts to read a request.
    pub fn begin_request(&self) {
        let mut state = self.state();
        state.request_bytes = 0;
        state.part = Part::default();
        state.is_too_large = false;
        state.is_answered = false;
    }

    /// Starts to read the body of a request whose head was read. Returns false if the body is
    /// too large.
    pub fn begin_body(&self, request: &Request) -> bool {
        let is_chunked = request.header("transfer-encoding").is_some();
        let length = request.len().unwrap_or_default();
        let mut state = self.state();
        state.part = if is_chunked { Part::ChunkSize(0) } else { Part::Body(length) };
        state.is_too_large = length > self.limit - state.request_bytes;
        !state.is_too_large
    }

    /// Returns whether the current request has more bytes than allowed.
    pub fn is_too_large(&self) -> bool {
        self.state().is_too_large
    }

    /// Returns whether the reader waits for bytes of the current request.
    pub fn is_waiting(&self) -> bool {
        self.state().is_waiting
    }

    /// Records that a response to the current request exists.
    pub fn set_answered(&self) {
        self.state().is_answered = true;
    }

    /// Returns whether a response to the current request exists.
    pub fn is_answered(&self) -> bool {
        self.state().is_answered
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

    /// Moves buffered bytes of the current request to `target`.
    fn take(&mut self, target: &mut [u8], limit: usize) -> usize {
        let buffered = &self.buffer[self.consumed..];
        let max_count = target.len().min(buffered.len()).min(limit - self.request_bytes);
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
        self.request_bytes += count;
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
            state.is_waiting = true;
            let is_open = ready!(self.poll_fill(&mut state, cx))?;
            state.is_waiting = false;
            if !is_open {
                return Poll::Ready(match state.part {
                    Part::Head(_) => Ok(0),
                    _ => Err(io::ErrorKind::UnexpectedEof.into()),
                });
            }
        }
        Poll::Ready(Ok(state.take(buf, self.limit)))
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_close(cx)
    }
}
