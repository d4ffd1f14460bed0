//! Messages of HTTP/1.1 on one connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message as it was received.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map_or("", |(_, value)| value)
    }

    /// Second word of the first line: a request's target, or a response's status.
    pub fn second(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> Option<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1))
            .ok()
            .map(Self::new)
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads some bytes; false at the end of the connection, or after the read timeout.
    pub fn fill(&mut self) -> bool {
        let mut part = [0; 16 << 10];
        match self.stream.read(&mut part) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.buf.extend_from_slice(&part[..count]);
                true
            }
        }
    }

    /// Reads a head.
    pub fn read_head(&mut self) -> Option<Message> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head).into_owned();
                let mut lines = head.lines();
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
                    .collect();
                return Some(Message {
                    line,
                    headers,
                    body: Vec::new(),
                });
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads the body that a head declares; `None` if it does not arrive whole.
    pub fn read_body(&mut self, head: &Message) -> Option<Vec<u8>> {
        if head
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            let mut body = Vec::new();
            loop {
                let end = loop {
                    if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                        break end;
                    }
                    if !self.fill() {
                        return None;
                    }
                };
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                let line = String::from_utf8_lossy(&line[..end]).into_owned();
                let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
                while self.buf.len() < size + 2 {
                    if !self.fill() {
                        return None;
                    }
                }
                body.extend(self.buf.drain(..size));
                self.buf.drain(..2);
                if size == 0 {
                    return Some(body);
                }
            }
        }
        let length: usize = match head.header("content-length") {
            "" => return Some(Vec::new()),
            text => text.parse().ok()?,
        };
        while self.buf.len() < length {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buf.drain(..length).collect())
    }

    /// Reads a whole message.
    pub fn read_message(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        message.body = self.read_body(&message)?;
        Some(message)
    }
}

/// A response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let number = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= part.len() {
                out.push(char::from(BASE64[(number >> (18 - 6 * index)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut number, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = BASE64.iter().position(|known| *known == byte) else {
            continue;
        };
        number = (number << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((number >> bits) as u8);
            number &= (1 << bits) - 1;
        }
    }
    out
}

pub fn from_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
