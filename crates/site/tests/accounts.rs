//! Admission of requests for client accounts.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use {
    site::{Account, AccountProblem, Accounts, Config, Credential, KeyDigest, KeyError},
    std::sync::Arc,
};

fn key(text: &str) -> Credential {
    Credential::Key(KeyDigest::of(text))
}

fn config(accounts: &[(&str, &[&str])]) -> Config {
    let mut config = Config::default();
    for (name, keys) in accounts {
        let account = Account {
            burst: 0,
            keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
            name: (*name).into(),
            priority: None,
            rate: None,
        };
        config
            .accounts
            .insert(account.name.clone(), Arc::new(account));
    }
    config
}

/// What a request with a credential is admitted as.
fn admitted(
    config: &Config,
    credential: &Credential,
    public: bool,
) -> Result<Option<String>, KeyError> {
    let accounts = Accounts::new(config);
    let account = accounts.authenticate(credential, public)?;
    Ok(account.map(|account| account.name.to_string()))
}

#[test]
fn a_key_admits_for_its_account_only() {
    let config = config(&[("a", &["k1", "k2"]), ("b", &["k3"])]);
    for (text, account) in [("k1", "a"), ("k2", "a"), ("k3", "b")] {
        for public in [false, true] {
            let result = admitted(&config, &key(text), public);
            assert_eq!(result, Ok(Some(account.to_owned())));
        }
    }
}

#[test]
fn other_requests_are_admitted_only_on_public_routes_and_for_no_account() {
    let config = config(&[("a", &["k1"])]);
    for (credential, error) in [
        (Credential::Absent, KeyError::Absent),
        (Credential::Malformed, KeyError::Malformed),
        (Credential::Repeated, KeyError::Repeated),
        (key("K1"), KeyError::Unknown),
        (Credential::Passed("b".into()), KeyError::Unknown),
    ] {
        assert_eq!(admitted(&config, &credential, false), Err(error));
        assert_eq!(admitted(&config, &credential, true), Ok(None));
    }
}

#[test]
fn without_accounts_all_requests_are_admitted_for_none() {
    let config = Config::default();
    for credential in [Credential::Absent, Credential::Repeated, key("k")] {
        assert_eq!(admitted(&config, &credential, false), Ok(None));
    }
}

#[test]
fn an_account_that_another_daemon_names_is_looked_up() {
    let config = config(&[("a", &[])]);
    let passed = Credential::Passed("a".into());
    assert_eq!(admitted(&config, &passed, false), Ok(Some("a".into())));
}

/// Guards against a configuration from another build that doesn't drop such keys.
#[test]
fn a_key_of_two_accounts_admits_no_request() {
    let config = config(&[("a", &["k", "ka"]), ("b", &["k"]), ("c", &["k"])]);
    assert_eq!(admitted(&config, &key("k"), false), Err(KeyError::Unknown));
    assert_eq!(admitted(&config, &key("ka"), false), Ok(Some("a".into())));
}

#[test]
fn accounts_that_are_not_in_force_still_make_requests_need_keys() {
    let mut config = Config::default();
    config.account_problems.push(AccountProblem {
        account: "a".into(),
        reason: "x".into(),
    });
    assert_eq!(admitted(&config, &key("k"), false), Err(KeyError::Unknown));
}
