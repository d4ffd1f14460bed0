//! Finds heads whose lines end in different ways.
//!
//! The parser ends a line at CRLF or at a line feed alone. Where a sender uses CRLF, a line feed at
//! the start of a field name would end the head, and the rest of it would be read as the body.

#[cfg(test)]
mod tests;

/// Position of the first digit of the status in its line.
const STATUS_POSITION: usize = "HTTP/1.1 ".len();

/// Some lines of a head end with CRLF, and others with a line feed alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("mixed line ends in a response head")]
pub(crate) struct MixedLineEnds;

/// Checks the heads of the responses on one connection as their bytes arrive.
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

/// Checks a whole head.
///
/// # Errors
/// Its lines end in different ways.
pub(crate) fn check_head(head: &[u8]) -> Result<(), MixedLineEnds> {
    let mut check = LineEndCheck::default();
    check.expect_head();
    check.check(head)
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
    pub(crate) fn check(&mut self, bytes: &[u8]) -> Result<(), MixedLineEnds> {
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
    fn push(&mut self, byte: u8) -> Result<bool, MixedLineEnds> {
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
            return Err(MixedLineEnds);
        }
        Ok(is_empty)
    }
}
