use super::*;

#[test]
fn connections_are_split_over_the_instances() {
    let cases = [
        // declared, members, share of the owner, share of any other instance
        (200, 1, 200, 150),
        (200, 3, 100, 50),
        (200, 18, 64, 8),
        (250, 14, 81, 13),
        (10, 18, 1, 1),
    ];
    for (declared, members, owner, other) in cases {
        assert_eq!(
            share(declared, members, true),
            owner,
            "{declared} over {members}"
        );
        assert_eq!(
            share(declared, members, false),
            other,
            "{declared} over {members}"
        );
    }
}

#[test]
fn shares_add_up_to_at_most_the_declared_connections() {
    arbtest::arbtest(|u| {
        let members = u.int_in_range(1..=200)?;
        let declared = u.int_in_range(members..=2_000)?;
        let others = share(declared, members, false) * (members - 1);
        assert!(share(declared, members, true) + others <= declared);
        Ok(())
    });
}
