//! Requests over real connections, as callers send them.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::WAIT_LIMIT;

/// A response with its whole body.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl HttpResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name)?;
        Some(&found.1)
    }
}

/// A connection to an instance whose bytes a test sends one by one.
pub struct RawConn {
    pub(super) stream: TcpStream,
    pub(super) buf: Vec<u8>,
}

impl RawConn {
    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.unwrap();
    }

    /// Sends the head of an upload; its body is chunked without a `length`.
    pub async fn send_upload_head(&mut self, id: &str, length: Option<usize>) {
        let framing = length.map_or("transfer-encoding: chunked".to_owned(), |length| {
            format!("content-length: {length}")
        });
        let head = format!(
            "POST /upload/x HTTP/1.1\r\nhost: x.example\r\nx-request-id: {id}\r\n\
             x-deadline-ms: 2000\r\n{framing}\r\n\r\n"
        );
        self.send(head.as_bytes()).await;
    }

    /// Reads the next response.
    pub async fn response(&mut self) -> HttpResponse {
        let resp = self.response_or_end().await;
        resp.unwrap_or_else(|| panic!("closed after {:?}", self.buf))
    }

    /// Reads the next response; `None` if the connection ends before it is whole.
    pub async fn response_or_end(&mut self) -> Option<HttpResponse> {
        let reading = async {
            loop {
                if let Some(resp) = parse(&self.buf) {
                    let head = self.buf.windows(4).position(|end| end == b"\r\n\r\n");
                    self.buf.drain(..head.unwrap() + 4 + resp.body.len());
                    return Some(resp);
                }
                if !matches!(self.stream.read_buf(&mut self.buf).await, Ok(1..)) {
                    return None;
                }
            }
        };
        tokio::time::timeout(WAIT_LIMIT, reading).await.unwrap()
    }

    /// Sends bytes; false if the connection has ended.
    pub async fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }
}

/// Sends a request on a new connection and reads the response.
pub(super) async fn exchange(address: SocketAddr, req: String) -> Option<HttpResponse> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(req.as_bytes()).await.ok()?;
    let mut buf = Vec::new();
    loop {
        if let Some(resp) = parse(&buf) {
            return Some(resp);
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return parse(&buf);
        }
    }
}

/// Parses a response with a `content-length`; `None` while it is incomplete.
fn parse(buf: &[u8]) -> Option<HttpResponse> {
    let text = String::from_utf8_lossy(buf);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length")?;
    let length: usize = length.1.parse().ok()?;
    let body = body.get(..length)?.to_owned();
    Some(HttpResponse {
        status,
        headers,
        body,
    })
}
