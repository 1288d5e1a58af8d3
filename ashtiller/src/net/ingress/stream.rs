//! Byte stream between a client's socket and the HTTP parser.
//!
//! The parser gets a head only when it is complete and within the limits, so that it parses each head
//! once and holds no partial ones. It gets no byte beyond the request that it handles.

use std::future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use hyper::server::conn::http1;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::framing::{ChunkScanner, HeadScanner};
use super::metrics::Refusal;
use super::state::{Owed, Phase, Shared};

/// Bytes that one read takes beyond what the parser has asked for.
const READ_SIZE: usize = 4 << 10;
/// Bytes of a body that one read takes; the parser's buffer does not grow for such reads.
const BODY_READ_SIZE: usize = (8 << 10) - 1;
/// Headers that the parser takes in its usual configuration.
const USUAL_HEADERS: usize = 100;
/// Shortest line of a header.
const HEADER_LINE_MIN: usize = 4;
/// Smallest buffer that the parser accepts.
const PARSER_BUFFER_MIN: usize = 8 << 10;
/// Most bytes of a refused request that are discarded.
const LINGER_BYTES: usize = 512 << 10;
/// Takes the place of a head that is refused, so that the response is written in its turn.
const REFUSED_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: refused\r\nconnection: close\r\n\r\n";

pub(super) struct IngressStream {
    socket: TcpStream,
    shared: Arc<Shared>,
    /// Bytes that were read and not handed to the parser.
    held: Vec<u8>,
    /// Bytes at the front of `held` that belong to a complete head.
    ready: usize,
    head: PartialHead,
    chunks: ChunkScanner,
    /// Number of requests when the present head began.
    requests: u64,
    parser: ParserLimits,
    restart: bool,
    is_shut_down: bool,
    discarded: usize,
}

/// Progress in receiving a head.
#[derive(Clone, Copy, Debug, Default)]
struct PartialHead {
    scanner: HeadScanner,
    /// Bytes that are not in `held`: empty lines before the head, and what the parser has.
    passed: usize,
    /// Bytes of `held` that were scanned.
    scanned: usize,
    begun: bool,
}

/// Sizes for which the parser of the connection is configured.
#[derive(Clone, Copy, Debug)]
struct ParserLimits {
    buffer: usize,
    headers: usize,
}

impl IngressStream {
    pub(super) fn new(socket: TcpStream, shared: Arc<Shared>) -> Self {
        Self {
            socket,
            shared,
            held: Vec::new(),
            ready: 0,
            head: PartialHead::default(),
            chunks: ChunkScanner::default(),
            requests: 0,
            parser: ParserLimits {
                buffer: usize::MAX,
                headers: usize::MAX,
            },
            restart: false,
            is_shut_down: false,
            discarded: 0,
        }
    }

    /// Waits for a head, complete or refused; returns false if the client is gone.
    pub(super) async fn receive_head(&mut self) -> bool {
        let received = future::poll_fn(|context| self.poll_head(context));
        received.await.unwrap_or(false)
    }

    /// Configures the parser for the head that was received and for usual ones.
    pub(super) fn configure(&mut self, mut builder: http1::Builder) -> http1::Builder {
        let limit = self.shared.ingress.limits().head_bytes;
        self.parser = ParserLimits {
            buffer: limit.max(PARSER_BUFFER_MIN),
            headers: USUAL_HEADERS,
        };
        builder.max_buf_size(self.parser.buffer);
        if self.head.scanner.lines() > USUAL_HEADERS {
            self.parser.headers = limit / HEADER_LINE_MIN;
            builder.max_headers(self.parser.headers);
        }
        builder
    }

    /// Returns whether a parser with another configuration has to serve the next request.
    pub(super) fn take_restart(&mut self) -> bool {
        std::mem::take(&mut self.restart)
    }

    /// Waits until a part of a complete head is ready; returns false at the end of the stream.
    fn poll_head(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let requests = self.shared.requests();
        if self.requests != requests {
            self.requests = requests;
            self.head = PartialHead::default();
            self.chunks = ChunkScanner::default();
            self.ready = 0;
        }
        loop {
            if self.ready > 0 {
                return Poll::Ready(Ok(true));
            }
            self.shared.wait_for_head(context.waker());
            if self.shared.refusal().is_some() {
                self.held = REFUSED_REQUEST.to_vec();
                self.ready = self.held.len();
                return Poll::Ready(Ok(true));
            }
            if self.shared.is_blocked() {
                // The task is woken when the client reads on.
                return Poll::Pending;
            }
            if self.examine_head() {
                continue;
            }
            if ready!(self.poll_fill(context))? == 0 {
                return Poll::Ready(Ok(false));
            }
        }
    }

    /// Looks for the end of the head in what is held; returns false if more has to be read.
    fn examine_head(&mut self) -> bool {
        self.skip_empty_lines();
        let limit = self.shared.ingress.limits().head_bytes;
        let end = self.head.scanner.scan(&self.held[self.head.scanned..]);
        let Some(end) = end else {
            self.head.scanned = self.held.len();
            // A complete head of the largest size would have ended here.
            let refusal = if self.head.passed + self.held.len() >= limit {
                Some(Refusal::HeadTooLarge)
            } else {
                let charged = self.shared.charge_partial_head(self.held.len());
                charged.err().map(|_| Refusal::Memory)
            };
            return refusal.is_some_and(|refusal| self.shared.refuse(refusal));
        };
        let end = self.head.scanned + end;
        self.head.scanned = end;
        let lines = self.head.scanner.lines();
        if self.head.passed + end > limit {
            return self.shared.refuse(Refusal::HeadTooLarge);
        }
        if self.shared.charge_head(end, lines).is_err() {
            return self.shared.refuse(Refusal::Memory);
        }
        self.ready = end;
        self.restart = end > self.parser.buffer || lines > self.parser.headers;
        true
    }

    /// Drops empty lines before a head, which count as a part of it.
    fn skip_empty_lines(&mut self) {
        if self.head.begun {
            return;
        }
        let empty = self.held.iter();
        let empty = empty.take_while(|byte| matches!(byte, b'\r' | b'\n'));
        let count = empty.count();
        self.take_held(count);
        self.head.passed += count;
        if !self.held.is_empty() {
            self.head.begun = true;
            self.shared.begin_head();
        }
    }

    /// Removes bytes from the front of what is held, and frees the buffer once it is empty.
    fn take_held(&mut self, count: usize) {
        if count == self.held.len() {
            self.held = Vec::new();
        } else {
            self.held.drain(..count);
        }
    }

    /// Reads from the socket into what is held; 0 bytes are the end of the stream.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_SIZE];
        let mut buffer = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.socket).poll_read(context, &mut buffer))?;
        self.held.extend_from_slice(buffer.filled());
        Poll::Ready(Ok(buffer.filled().len()))
    }

    fn poll_read_head(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if ready!(self.poll_head(context))? && !self.restart {
            let count = self.ready.min(buffer.remaining());
            buffer.put_slice(&self.held[..count]);
            self.take_held(count);
            self.ready -= count;
            self.head.passed += count;
            self.head.scanned = self.head.scanned.saturating_sub(count);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_read_body(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let count = match self.shared.owed_body() {
            Owed::Nothing => return self.poll_closed(context),
            Owed::Bytes(owed) => ready!(self.poll_sized(context, buffer, owed))?,
            Owed::Chunks => ready!(self.poll_chunks(context, buffer))?,
        };
        self.shared.note_body(count);
        Poll::Ready(Ok(()))
    }

    /// Hands over bytes of a body of which this many are left.
    fn poll_sized(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        owed: usize,
    ) -> Poll<io::Result<usize>> {
        let most = owed.min(buffer.remaining());
        if !self.held.is_empty() {
            let count = self.held.len().min(most);
            buffer.put_slice(&self.held[..count]);
            self.take_held(count);
            return Poll::Ready(Ok(count));
        }
        let part = buffer.initialize_unfilled_to(most.min(BODY_READ_SIZE));
        let mut part = ReadBuf::new(part);
        ready!(Pin::new(&mut self.socket).poll_read(context, &mut part))?;
        let count = part.filled().len();
        buffer.advance(count);
        Poll::Ready(Ok(count))
    }

    /// Hands over bytes of a chunked body, and none of what follows it.
    fn poll_chunks(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        if self.held.is_empty() && ready!(self.poll_fill(context))? == 0 {
            return Poll::Ready(Ok(0));
        }
        let count = self.held.len().min(buffer.remaining());
        let count = self.chunks.scan(&self.held[..count]);
        if count == 0 {
            return self.poll_closed(context).map_ok(|()| 0);
        }
        buffer.put_slice(&self.held[..count]);
        self.take_held(count);
        Poll::Ready(Ok(count))
    }

    /// Waits until the client closes the connection while its request is handled.
    fn poll_closed(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.held.is_empty() {
            if ready!(self.poll_fill(context))? == 0 {
                return Poll::Ready(Ok(()));
            }
        }
        // The next request has its turn when this one has ended.
        self.shared.wait_for_turn(context.waker());
        Poll::Pending
    }

    /// Discards what the client still sends, so that closing does not reset the connection before the
    /// client has read its response.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_SIZE];
        while self.discarded < LINGER_BYTES {
            let mut buffer = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.socket).poll_read(context, &mut buffer))?;
            if buffer.filled().is_empty() {
                break;
            }
            self.discarded += buffer.filled().len();
        }
        Poll::Ready(Ok(()))
    }

    fn note_write<T>(&self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.shared.set_blocked(written.is_pending());
        written
    }
}

impl AsyncRead for IngressStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.shared.phase() {
            Phase::Idle | Phase::Head => self.poll_read_head(context, buffer),
            Phase::Request => self.poll_read_body(context, buffer),
            Phase::Closing => Poll::Pending,
        }
    }
}

impl AsyncWrite for IngressStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.note_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, slices);
        self.note_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.restart {
            return Poll::Ready(Ok(()));
        }
        if !self.is_shut_down {
            ready!(Pin::new(&mut self.socket).poll_shutdown(context))?;
            self.is_shut_down = true;
        }
        if self.shared.begin_linger() {
            return self.poll_discard(context);
        }
        Poll::Ready(Ok(()))
    }
}
