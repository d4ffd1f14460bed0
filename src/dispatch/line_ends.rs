//! Fails a response whose head has lines that end in different ways, which the HTTP library
//! accepts: a line feed at the start of a field name would end the head.

use std::io;

#[cfg(test)]
mod tests;

/// Position of the first digit of the status in its line.
const STATUS_POSITION: usize = "HTTP/1.1 ".len();

/// Checks the heads of the responses on one connection.
#[derive(Debug, Default)]
pub(crate) struct LineEndCheck {
    /// The present head; `None` in a body.
    head: Option<Head>,
}

/// The part of a head that was read.
#[derive(Debug, Default)]
struct Head {
    /// Bytes of the present line, with the CR of its end.
    line_bytes: usize,
    /// Last byte.
    last: u8,
    /// Whether its lines end with CRLF; `None` before the end of the first one.
    has_crlf: Option<bool>,
    /// Whether another head follows.
    is_informational: bool,
}

impl LineEndCheck {
    /// The next byte is the first one of a response.
    pub(crate) fn expect_head(&mut self) {
        self.head = Some(Head::default());
    }

    /// Takes the next bytes of a response.
    ///
    /// # Errors
    /// Lines of its head end in different ways.
    pub(crate) fn check(&mut self, bytes: &[u8]) -> io::Result<()> {
        for byte in bytes {
            let Some(head) = &mut self.head else {
                return Ok(());
            };
            if head.push(*byte)? {
                self.head = head.is_informational.then(Head::default);
            }
        }
        Ok(())
    }
}

impl Head {
    /// Takes the next byte; returns whether the head ends with it.
    fn push(&mut self, byte: u8) -> io::Result<bool> {
        let is_status_line = self.has_crlf.is_none();
        if byte != b'\n' {
            if is_status_line && self.line_bytes == STATUS_POSITION {
                self.is_informational = byte == b'1';
            }
            self.line_bytes += 1;
            self.last = byte;
            return Ok(false);
        }
        let ends_with_crlf = self.last == b'\r';
        let is_empty = self.line_bytes == usize::from(ends_with_crlf);
        (self.line_bytes, self.last) = (0, byte);
        if is_empty && is_status_line {
            // Empty lines before the status line are skipped.
            return Ok(false);
        }
        if *self.has_crlf.get_or_insert(ends_with_crlf) != ends_with_crlf {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "mixed line ends in a response head",
            ));
        }
        Ok(is_empty)
    }
}
