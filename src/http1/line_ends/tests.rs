//! Tests of the check of line ends, byte by byte and at once.

use super::LineEndCheck;

/// Whether responses on one connection pass.
fn passes(responses: &[&str]) -> bool {
    let passes_in = |piece_bytes: usize| {
        let mut check = LineEndCheck::default();
        responses.iter().all(|resp| {
            check.expect_head();
            let mut pieces = resp.as_bytes().chunks(piece_bytes);
            pieces.all(|piece| check.check(piece).is_ok())
        })
    };
    let passes = passes_in(1);
    assert_eq!(passes, passes_in(usize::MAX), "{responses:?}");
    passes
}

#[test]
fn the_lines_of_a_head_end_alike() {
    const CRLF: &str = "HTTP/1.1 200 OK\r\na: 1\r\n\r\n";
    const LF: &str = "HTTP/1.1 200 OK\na: 1\n\n";
    const HINTS: &str = "HTTP/1.1 103 Hints\r\n\r\n";
    const SPLIT: &str = "HTTP/1.1 200 OK\r\na: 1\r\n\nb: 1\r\n\r\n";
    assert!(passes(&[CRLF, LF]));
    assert!(passes(&[&format!("\r\n{CRLF}a\n\nb\r\n"), CRLF]));
    assert!(passes(&[&format!("{HINTS}{HINTS}{LF}\r\n")]));
    assert!(!passes(&[SPLIT]));
    assert!(!passes(&[CRLF, SPLIT]));
    assert!(!passes(&[&format!("{HINTS}{SPLIT}")]));
    assert!(!passes(&["HTTP/1.1 200 OK\r\na: 1\nb: 1\r\n\r\n"]));
    assert!(!passes(&["HTTP/1.1 200 OK\na: 1\n\r\n"]));
}
