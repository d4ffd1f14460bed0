//! Heads of requests.

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
