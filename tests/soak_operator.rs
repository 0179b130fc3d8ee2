//! The documents that a soak run draws are what their records say.

use std::collections::BTreeSet;

use lilacspindle::domain::document::EngineSpec;
use lilacspindle::platform::decode_document;
use lilacspindle::soak::{Catalog, Drafts};

fn catalog() -> Catalog {
    Catalog {
        host: "calls.example".into(),
        plain: vec!["p1".into(), "p2".into(), "p3".into()],
        engines: vec!["e1".into(), "e2".into()],
        engine: EngineSpec {
            slots: 4,
            memory_tokens: 30_000,
            bytes_per_token: 0,
            link_mbps: 0,
            tokens_per_event: 1,
            moves: false,
            backups: false,
        },
        timeout_ms: 4_000,
    }
}

/// Guards against drafts that the record describes wrongly, which would blind the checker.
#[test]
fn valid_drafts_are_accepted_as_their_record_describes_them() {
    let mut drafts = Drafts::new(catalog(), 1);
    let mut locations = BTreeSet::new();
    let mut version = 0;
    for _ in 0..300 {
        let draft = drafts.next_valid();
        let document = decode_document(&draft.body).unwrap();
        assert!(draft.sent.version > version);
        version = draft.sent.version;
        assert_eq!(document.version, version);
        assert_eq!(document.routes.len(), draft.sent.routes.len());
        for (route, sent) in document.routes.iter().zip(&draft.sent.routes) {
            assert_eq!((&route.host, &route.prefix), (&sent.host, &sent.prefix));
            assert_eq!(
                (route.timeout_ms, route.anonymous),
                (sent.timeout_ms, sent.is_anonymous)
            );
            let used = route.shares.iter().filter(|share| share.weight > 0);
            let services: Vec<_> = used.map(|share| share.service.clone()).collect();
            assert_eq!(services, sent.services);
            locations.insert(sent.prefix.clone());
        }
        let keys = document.workspaces.iter().map(|w| w.keys.len());
        assert_eq!(keys.sum::<usize>(), draft.sent.keys.len());
    }
    assert!(
        locations.len() > 20,
        "{} routes were drawn",
        locations.len()
    );
}

#[test]
fn invalid_drafts_are_refused() {
    let mut drafts = Drafts::new(catalog(), 2);
    for _ in 0..50 {
        drafts.next_valid();
        for draft in drafts.every_invalid() {
            let fault = draft.sent.fault.clone().unwrap();
            assert!(
                decode_document(&draft.body).is_err(),
                "accepted although {fault}"
            );
        }
    }
}

#[test]
fn drafts_are_determined_by_their_seed() {
    let draw = |seed| {
        let mut drafts = Drafts::new(catalog(), seed);
        let bodies = (0..20).map(|_| (drafts.next_valid().content, drafts.next_invalid().content));
        bodies.collect::<Vec<_>>()
    };
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
}

#[test]
fn padded_drafts_have_about_their_size() {
    for bytes in [300_000, 1_500_000] {
        let mut drafts = Drafts::new(catalog(), 5);
        drafts.pad(bytes);
        let draft = drafts.next_valid();
        assert!((bytes * 9 / 10..=bytes * 11 / 10).contains(&draft.body.len()));
        assert!(decode_document(&draft.body).is_ok());
    }
}

#[test]
fn other_content_keeps_the_version() {
    let mut drafts = Drafts::new(catalog(), 6);
    let first = drafts.next_valid();
    let other = drafts.same_version();
    assert_eq!(first.sent.version, other.sent.version);
    assert_ne!(first.content, other.content);
    assert!(decode_document(&other.body).is_ok());
}
