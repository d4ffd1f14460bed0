use super::*;
use crate::config::document::MAX_DOCUMENT_BYTES;

/// Bytes that a link of 10 Mbit/s carries within a second.
const NARROW_LINK_BYTES: f64 = 1_250_000.0;

/// A response that is late is thrown away, and the next peer sends the same.
#[test]
fn documents_arrive_within_the_timeout_on_a_narrow_link_that_other_transfers_use() {
    let document: Arc<str> = "x".repeat(50_000).into();
    let texts = first_texts(std::iter::repeat_n(document, 16));
    let bytes: usize = texts.iter().map(String::len).sum();
    let bytes = u32::try_from(bytes).unwrap();
    let transfer = Duration::from_secs_f64(f64::from(bytes) / NARROW_LINK_BYTES);
    assert!(!texts.is_empty());
    assert!(
        transfer * 4 <= PEER_TIMEOUT,
        "{transfer:?} for {bytes} bytes"
    );
    let large: Arc<str> = "x".repeat(MAX_DOCUMENT_BYTES).into();
    assert_eq!(first_texts(std::iter::repeat_n(large, 2)).len(), 1);
}
