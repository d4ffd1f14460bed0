use super::*;

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: None,
        limit: None,
    }
}

#[test]
fn each_key_finds_its_account() {
    let table = AccountTable::new(&[
        account("a", &["a1", "a2"]),
        account("none", &[]),
        account("b", &["b1"]),
    ]);
    let name = |key: &str| {
        let account = table.find(&KeyDigest::of(key.as_bytes()))?;
        Some(account.name.as_str())
    };
    let found = ["a1", "a2", "b1", "A1", "a1 ", ""].map(name);
    assert_eq!(found, [Some("a"), Some("a"), Some("b"), None, None, None]);
    assert_eq!(table.accounts().len(), 3);
}
