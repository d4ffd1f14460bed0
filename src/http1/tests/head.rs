//! Heads of requests and responses.

use crate::http1::client::parse_head;
use crate::http1::head::parse_request;

/// RFC 9112, section 3.2.2: a server accepts the absolute form, and takes the host from it.
#[test]
fn an_absolute_request_target_names_the_host_the_path_and_the_query() {
    for (target, expected, host) in [
        ("GET http://x.example/a?q=1", "/a?q=1", "x.example"),
        ("GET HTTPS://X.Example:80", "/", "X.Example:80"),
        ("GET http://x.example?q=/", "/?q=/", "x.example"),
        ("OPTIONS http://x.example", "*", "x.example"),
        ("GET /http://x.example/a", "/http://x.example/a", "other"),
        ("GET http:///a", "http:///a", "other"),
        ("GET ftp://x.example/a", "ftp://x.example/a", "other"),
        ("OPTIONS *", "*", "other"),
    ] {
        let bytes = format!("{target} HTTP/1.1\r\nhost: other\r\nhost: more\r\n\r\n");
        let (head, _) = parse_request(&bytes.as_bytes().into()).unwrap().unwrap();
        let hosts: Vec<_> = head.headers.get_all("host").iter().collect();
        assert_eq!(
            (&*head.target, hosts[0].to_str().unwrap()),
            (expected, host)
        );
        assert_eq!(hosts.len(), if host == "other" { 2 } else { 1 }, "{target}");
    }
}

/// Whether a name of a field may hold this byte (RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Inserts each other byte at each position of names, as the parser reads many bytes at once, and
/// other ones on each kind of processor.
#[test]
fn a_response_with_a_name_of_a_field_that_is_no_token_is_malformed() {
    let mut accepted = Vec::new();
    for length in [1, 7, 8, 15, 16, 31, 32, 33, 63, 64, 65, 130] {
        for position in 0..=length {
            // A colon ends the name, which must not be empty.
            let invalid = (0..=u8::MAX)
                .filter(|byte| !is_token_byte(*byte) && (*byte != b':' || position == 0));
            for byte in invalid {
                let mut name = vec![b'n'; length];
                name.insert(position, byte);
                for before in ["", "id: own\r\n"] {
                    let start = format!("HTTP/1.1 200 OK\r\n{before}");
                    let end = b": value\r\ncontent-length: 4\r\n\r\n";
                    let head = [start.as_bytes(), &name, end].concat();
                    if parse_head(&head.as_slice().into()).is_ok() {
                        accepted.push((byte, position, length));
                    }
                }
            }
        }
    }
    assert!(accepted.is_empty(), "byte, position, length: {accepted:?}");
}
