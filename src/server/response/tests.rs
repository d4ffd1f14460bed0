//! Responses from records that peers and the store hold.

use super::*;

/// Status of the response to a repeated call, for which this was recorded.
fn status_of_recorded(status: u16, body: &str) -> u16 {
    let outcome = RecordedOutcome {
        status,
        content_type: None,
        body: body.to_owned(),
    };
    recorded(&outcome).status().as_u16()
}

#[test]
fn a_record_that_is_no_response_does_not_become_a_success() {
    for status in [200, 404, 599] {
        assert_eq!(status_of_recorded(status, "b2s="), status);
    }
    // The call was accepted before, and its response is not known.
    for status in [0, 99, 101, 600, 999, u16::MAX] {
        assert_eq!(status_of_recorded(status, "b2s="), 409, "{status}");
    }
    assert_eq!(status_of_recorded(200, "no base64"), 409);
}
