use super::*;

fn of(values: &[&[u8]]) -> Result<KeyDigest, KeyProblem> {
    KeyDigest::of_authorization(values.iter().copied())
}

#[test]
fn a_bearer_key_is_read_whatever_the_case_of_the_scheme() {
    let key = Ok(KeyDigest::of(b"secret"));
    for value in [
        "Bearer secret",
        "bearer secret",
        "BEARER   secret ",
        "bEaReR\tsecret",
    ] {
        assert_eq!(of(&[value.as_bytes()]), key, "{value}");
    }
}

#[test]
fn what_is_no_bearer_key_is_a_problem() {
    let huge = [b"Bearer ".to_vec(), vec![b'k'; 1 << 20]].concat();
    assert_eq!(of(&[&huge]), Ok(KeyDigest::of(&huge[7..])));
    assert_eq!(of(&[b"Bearer \xff\xfe"]), Ok(KeyDigest::of(b"\xff\xfe")));
    assert_eq!(of(&[]), Err(KeyProblem::Missing));
    assert_eq!(of(&[b"Bearer a", b"Bearer a"]), Err(KeyProblem::Several));
    for value in ["Basic a", "a", "", "Bearera"] {
        assert_eq!(of(&[value.as_bytes()]), Err(KeyProblem::Scheme), "{value}");
    }
    for value in ["Bearer", "Bearer ", "Bearer \t "] {
        assert_eq!(of(&[value.as_bytes()]), Err(KeyProblem::Empty), "{value}");
    }
}

#[test]
fn a_key_is_logged_as_a_fingerprint() {
    let key = KeyDigest::of(b"secret");
    assert_eq!(key.to_string(), "2bb80d53");
    assert_eq!(format!("{key:?}"), "KeyDigest(2bb80d53)");
}
