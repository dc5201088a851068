//! HTTP/1.1 client that sends one request at a time on a connection.

use async_std::net::TcpStream;
use http_types::{Body, Method, Request, Response, Url};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Result of a request.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a request got no complete answer.
#[derive(Debug)]
pub enum Error {
    /// The request was not sent: there is no connection, or the path is invalid.
    Unreachable(String),
    /// The complete answer did not arrive in time; the request may have been carried out.
    Lost(String),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Unreachable(reason) => write!(f, "no connection: {reason}"),
            Error::Lost(reason) => write!(f, "no whole answer: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Complete body.
    pub body: Vec<u8>,
    response: Response,
}

impl Answer {
    /// Returns the value of a header, or an empty string if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.response.header(name).map_or("", |value| value.as_str())
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the server.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query, with the leading slash.
    pub path: String,
    /// Headers; the last of several with one name is sent.
    pub headers: Vec<Header>,
    /// Body; empty for none.
    pub body: Vec<u8>,
    /// Longest wait for the complete answer; opening a connection may take as long again.
    pub timeout: Duration,
}

/// A header of a request.
#[derive(Clone, Debug)]
pub struct Header {
    /// Header name.
    pub name: String,
    /// Header value.
    pub value: String,
}

impl Call {
    /// Returns a GET request without headers or body, with a timeout of 15 seconds.
    ///
    /// ```
    /// let call = standin::client::Call::new("127.0.0.1:1".parse().unwrap(), "/");
    /// let error = async_std::task::block_on(call.send()).unwrap_err();
    /// assert!(matches!(error, standin::client::Error::Unreachable(_)));
    /// ```
    pub fn new(address: SocketAddr, path: impl Into<String>) -> Call {
        Call {
            address,
            method: Method::Get,
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: Duration::from_secs(15),
        }
    }

    /// Turns the request into a POST with a body.
    pub fn post(mut self, body: impl Into<Vec<u8>>) -> Call {
        self.method = Method::Post;
        self.body = body.into();
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Call {
        self.headers.push(Header { name: name.to_string(), value: value.into() });
        self
    }

    /// Adds an `authorization` header with a bearer token.
    pub fn token(self, token: &str) -> Call {
        self.header("authorization", format!("Bearer {token}"))
    }

    /// Sends the request on a new connection and returns the complete answer.
    pub async fn send(self) -> Result<Answer> {
        let connection = Connection::open(self.address, self.timeout).await?;
        connection.send(self).await
    }
}

/// An open connection, which carries one request at a time.
#[derive(Clone, Debug)]
pub struct Connection {
    stream: TcpStream,
}

impl Connection {
    /// Connects to a server within a timeout.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Connection> {
        let stream = async_std::future::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|error| Error::Unreachable(error.to_string()))?
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        stream.set_nodelay(true).map_err(|error| Error::Unreachable(error.to_string()))?;
        Ok(Connection { stream })
    }

    /// Sends a request and returns the complete answer.
    pub async fn send(&self, call: Call) -> Result<Answer> {
        let timeout = call.timeout;
        async_std::future::timeout(timeout, self.exchange(call))
            .await
            .map_err(|error| Error::Lost(error.to_string()))?
    }

    async fn exchange(&self, call: Call) -> Result<Answer> {
        let url = Url::parse(&format!("http://{}{}", call.address, call.path))
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        let mut request = Request::new(call.method, url);
        for header in &call.headers {
            request.insert_header(header.name.as_str(), header.value.as_str());
        }
        request.set_body(Body::from_bytes(call.body));
        let lost = |error: http_types::Error| Error::Lost(error.to_string());
        let mut response = async_h1::connect(self.stream.clone(), request).await.map_err(lost)?;
        let declared_length = response.len();
        let body = response.body_bytes().await.map_err(lost)?;
        if declared_length.is_some_and(|length| length != body.len()) {
            return Err(Error::Lost(io::ErrorKind::UnexpectedEof.to_string()));
        }
        Ok(Answer { status: response.status().into(), body, response })
    }
}
