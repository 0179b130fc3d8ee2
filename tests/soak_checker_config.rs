//! Each check on the document is seen to fail on a history that breaks it, and to pass at the edge.

mod soak_support;

use lilacspindle::soak::{CallEnd, FaultKind, figures, is_in_touch};
use soak_support::{Record, document};

/// Document 2 moves `/a/` to the service `new`; it is acknowledged at 10,100 ms and takes effect
/// by 12,100 ms.
fn moved() -> Record {
    let mut record = Record::new();
    record.publish(document(2, &[("/a/", "new")]), 10_000, Some(10_100));
    record
}

#[test]
fn a_process_is_in_touch_after_an_undisturbed_window() {
    use FaultKind::{DiskFull, Freeze, InstanceSilent, Kill, Link, Reload};
    let cases = [
        (Freeze, "e1", 5_000, 6_000, vec![4_999, 9_001]),
        (Reload, "e1", 5_000, 6_000, vec![5_500]),
        (InstanceSilent, "e1", 5_000, 6_000, vec![5_500]),
        (Freeze, "e2", 5_000, 6_000, vec![5_500]),
        (Freeze, "c1", 5_000, 20_000, vec![4_999, 8_001, 23_001]),
        (DiskFull, "c1", 5_000, 20_000, vec![5_500]),
        (Link, "c1", 5_000, 20_000, vec![4_999, 23_001]),
        (Kill, "e1", 5_000, u64::MAX, vec![4_999]),
    ];
    for (kind, target, at_ms, until_ms, in_touch) in cases {
        let mut record = Record::new();
        record.0.controls = Some(["c1", "c2", "c3"].map(Into::into).into());
        record.fault(kind, target, at_ms, until_ms);
        for at_ms in in_touch {
            assert!(
                is_in_touch(&record.0, "e1", at_ms),
                "{kind:?} {target} {at_ms}"
            );
        }
    }
    let out = [
        (Freeze, "e1", 5_000, 6_000, vec![5_000, 9_000]),
        (Freeze, "c1", 5_000, 20_000, vec![5_000, 8_000, 23_000]),
        (DiskFull, "e1", 5_000, 20_000, vec![5_000, 23_000]),
        (Link, "c1", 5_000, 20_000, vec![5_000, 15_000, 23_000]),
    ];
    for (kind, target, at_ms, until_ms, out) in out {
        let mut record = Record::new();
        record.0.controls = Some(["c1", "c2", "c3"].map(Into::into).into());
        record.fault(kind, target, at_ms, until_ms);
        for at_ms in out {
            assert!(
                !is_in_touch(&record.0, "e1", at_ms),
                "{kind:?} {target} {at_ms}"
            );
        }
    }
}

#[test]
fn no_process_is_in_touch_while_half_of_the_control_processes_are_away() {
    for (away, in_touch) in [(1, true), (2, false)] {
        let mut record = Record::new();
        record.0.controls = Some(["c1", "c2", "c3", "c4"].map(Into::into).into());
        for n in 0..away {
            record.fault(FaultKind::Kill, &format!("c{}", n + 1), 5_000, u64::MAX);
        }
        assert_eq!(is_in_touch(&record.0, "e1", 20_000), in_touch);
    }
}

#[test]
fn old_service_after_the_apply_time() {
    let mut late = moved();
    late.served("r", "/a/x", "old", 12_101);
    late.breaks("CONFIG", "version 1 of 2");
    let mut in_time = moved();
    in_time.served("r", "/a/x", "old", 12_100);
    in_time.is_clean();
}

#[test]
fn old_service_at_a_process_out_of_touch() {
    let mut record = moved();
    record.fault(FaultKind::Freeze, "e1", 9_000, 9_500);
    record.served("r", "/a/x", "old", 12_400);
    record.is_clean();
}

#[test]
fn refusal_of_an_added_route_after_the_apply_time() {
    for status in [401, 403, 404] {
        let mut record = Record::new();
        let added = document(2, &[("/a/", "old"), ("/b/", "old")]);
        record.publish(added, 10_000, Some(10_100));
        record.refused("early", "/b/x", status, 12_100);
        record.is_clean();
        record.refused("late", "/b/x", status, 12_101);
        record.breaks("CONFIG", "version 1 of 2");
    }
}

#[test]
fn run_with_a_dropped_route_after_the_apply_time() {
    let mut record = Record::new();
    let dropped = document(2, &[("/b/", "old")]);
    record.publish(dropped, 10_000, Some(10_100));
    record.served("early", "/a/x", "old", 12_100);
    record.refused("refused", "/a/x", 404, 12_200);
    record.is_clean();
    record.served("late", "/a/x", "old", 12_101);
    record.breaks("CONFIG", "version 1 of 2");
}

#[test]
fn an_unacknowledged_document_may_or_may_not_be_in_force() {
    let mut record = Record::new();
    record.publish(document(2, &[("/a/", "new")]), 10_000, None);
    record.served("one", "/a/x", "old", 20_000);
    record.served("two", "/a/x", "new", 20_000);
    record.is_clean();
}

#[test]
fn regression_within_one_incarnation() {
    let mut record = moved();
    record.served("new", "/a/x", "new", 10_050);
    record.served("overtaking", "/a/x", "old", 10_302);
    record.is_clean();
    record.served("late", "/a/x", "old", 10_303);
    record.breaks("CONFIG", "version 1 after 2");
    // The process is started again between the two.
    record.fault(FaultKind::Kill, "e1", 10_100, 10_300);
    record.is_clean();
}

#[test]
fn a_slowed_process_has_more_time_before_it_regresses() {
    for (sent_ms, clean) in [(12_052, true), (12_053, false)] {
        let mut record = moved();
        record.fault(FaultKind::Freeze, "e1", 11_000, 12_000);
        record.served("new", "/a/x", "new", 10_050);
        record.served("old", "/a/x", "old", sent_ms);
        assert_eq!(record.rules().is_empty(), clean);
    }
}

#[test]
fn refused_and_invalid_documents_are_not_obeyed() {
    let mut refused = Record::new();
    let content = refused.publish(document(2, &[("/a/", "new")]), 10_000, None);
    refused.0.publications.pop();
    refused.send_again(content, 2, 10_000, Some((10_010, 503)));
    refused.served("r", "/a/x", "new", 10_100);
    refused.is_clean();
    refused.0.publications.last_mut().unwrap().status = Some(400);
    assert_eq!(refused.rules(), ["ACKS", "CONFIG"]);

    let mut invalid = Record::new();
    let mut document = document(2, &[("/a/", "new")]);
    document.fault = Some("cut short".into());
    invalid.publish(document, 10_000, None);
    invalid.is_clean();
    invalid.served("r", "/a/x", "new", 10_100);
    invalid.breaks("CONFIG", "void document");
}

#[test]
fn an_invalid_document_is_acknowledged() {
    for (status, clean) in [(400, true), (503, true), (200, false)] {
        let mut record = Record::new();
        let mut document = document(2, &[]);
        document.fault = Some("no time-out".into());
        record.publish(document, 10_000, Some(10_010));
        record.0.publications.last_mut().unwrap().status = Some(status);
        match clean {
            true => record.is_clean(),
            false => record.breaks("CONFIG", "no time-out"),
        }
    }
}

#[test]
fn other_content_under_the_version_held() {
    for (sent_ms, clean) in [(10_100, true), (10_101, false)] {
        let mut record = moved();
        let other = document(2, &[("/a/", "other")]);
        let content = record.publish(other, sent_ms, Some(10_200));
        record.is_clean();
        record.read(11_000, (2, content));
        match clean {
            true => record.is_clean(),
            false => record.breaks("CONFIG", "other content was acknowledged"),
        }
        record.0.reads.clear();
        record.served("r", "/a/x", "other", 11_000);
        match clean {
            true => record.is_clean(),
            false => record.breaks("CONFIG", "void document"),
        }
    }
}

#[test]
fn an_acknowledged_document_is_refused_when_sent_again() {
    for (status, clean) in [(200, true), (503, true), (429, true), (409, false)] {
        let mut record = moved();
        record.send_again(2, 2, 11_000, Some((11_005, status)));
        match clean {
            true => record.is_clean(),
            false => record.breaks("CONFIG", "refused the valid version 2 with 409"),
        }
    }
}

#[test]
fn a_valid_document_is_refused() {
    let mut record = Record::new();
    record.publish(document(2, &[("/a/", "new")]), 10_000, Some(10_005));
    record.0.publications.last_mut().unwrap().status = Some(422);
    record.breaks("ACKS", "with 422");
}

#[test]
fn reads_of_an_older_version() {
    let mut record = moved();
    record.read(12_100, (1, 1));
    record.is_clean();
    let read = record.read(12_101, (1, 1));
    (read.status, read.document) = (Some(503), None);
    record.is_clean();
    // Any process, in touch or not.
    record.fault(FaultKind::Freeze, "c1", 11_000, 12_000);
    record.read(12_101, (1, 1));
    record.breaks("CONFIG", "returned version 1 of 2");
}

#[test]
fn reads_of_what_was_never_sent() {
    let mut record = moved();
    record.read(10_200, (2, 2));
    record.is_clean();
    record.read(10_200, (2, 1));
    record.breaks("CONFIG", "never sent");
    record.0.reads.last_mut().unwrap().document = None;
    record.breaks("CONFIG", "never sent");
}

#[test]
fn final_reads_return_what_was_acknowledged() {
    let mut record = moved();
    record.read(11_000, (1, 1)).is_final = true;
    record.breaks("LOST", "returned version 1 at the end; 2 was acknowledged");
    let read = record.0.reads.last_mut().unwrap();
    (read.status, read.document) = (None, None);
    record.breaks("CONFIG", "none of 1 reads at the end was answered");
    record.read(11_500, (2, 2)).is_final = true;
    record.is_clean();
}

#[test]
fn a_revoked_key_runs_nothing_at_any_process() {
    for (sent_ms, clean) in [(15_100, true), (15_101, false)] {
        let mut record = Record::new();
        let mut revoked = document(2, &[("/a/", "old")]);
        revoked.keys = [("other".into(), "w".into())].into();
        record.publish(revoked, 10_000, Some(10_100));
        // Out of touch, so that only the revocation counts.
        record.fault(FaultKind::Freeze, "e1", 12_500, 14_000);
        record.served("r", "/a/x", "old", sent_ms);
        match clean {
            true => record.is_clean(),
            false => record.breaks("CONFIG", "a key that version 2 took away"),
        }
        // The key is given back by a document that may be in force.
        record.publish(document(3, &[("/a/", "old")]), sent_ms, None);
        record.is_clean();
    }
}

#[test]
fn added_routes_are_served_a_quarter_as_often_as_the_first_ones() {
    for (served, calls, clean) in [(5, 20, true), (4, 20, false), (0, 19, true)] {
        let mut record = Record::new();
        let added = document(2, &[("/a/", "old"), ("/b/", "old")]);
        record.publish(added, 10_000, Some(10_100));
        record.served("first", "/a/x", "old", 20_000);
        for n in 0..calls {
            match n < served {
                true => record.served(&format!("r{n}"), "/b/x", "old", 20_000),
                false => record.refused(&format!("r{n}"), "/b/x", 503, 20_000),
            }
        }
        match clean {
            true => record.is_clean(),
            false => record.breaks("CONFIG", "4 of 20 requests on added routes"),
        }
    }
}

/// Returns calls of a route with a time-out of 5 s whose answers end after these times.
fn lasting(after_ms: &[u64]) -> Record {
    let mut record = Record::new();
    for (n, after_ms) in after_ms.iter().enumerate() {
        let call = record.call(&format!("r{n}"), "/a/x", 10_000);
        call.ended_ms = 10_000 + after_ms;
        record.run("old");
    }
    record
}

#[test]
fn answers_come_shortly_after_the_time_out() {
    let without_answer = |after_ms: &[u64]| {
        let mut record = lasting(after_ms);
        for call in &mut record.0.calls {
            (call.head_ms, call.status, call.end) = (None, None, CallEnd::Abandoned);
        }
        for run in &mut record.0.executions {
            run.ended_ms = 15_100;
        }
        record
    };
    without_answer(&[5_000, 5_500]).is_clean();
    without_answer(&[5_501]).breaks("CONFIG", "1 of 1 requests had no answer");
    let mut half = without_answer(&[5_501, 5_501]);
    let call = &mut half.0.calls[0];
    (call.head_ms, call.status, call.end) = (Some(15_500), Some(504), CallEnd::Complete);
    half.is_clean();
}

#[test]
fn answers_end_shortly_after_the_time_out() {
    let late = |count, in_time| {
        let mut after_ms = vec![5_501; count];
        after_ms.resize(count + in_time, 5_500);
        lasting(&after_ms)
    };
    late(7, 0).is_clean();
    late(8, 24).is_clean();
    late(8, 23).breaks("CONFIG", "8 of 31 requests did not end");
}

#[test]
fn the_longest_matching_prefix_and_the_host_decide() {
    let mut record = Record::new();
    let nested = document(2, &[("/a/", "old"), ("/a/b/", "new")]);
    record.publish(nested, 10_000, Some(10_100));
    record.served("r1", "/a/b/x?y=/z/", "new", 20_000);
    record.served("r2", "/a/bx", "old", 20_000);
    record.call("r3", "/a/x", 20_000).host = "H:80".into();
    record.run("old");
    record.is_clean();
    record.served("r4", "/a/b/x", "old", 20_000);
    record.breaks("CONFIG", "version 1 of 2");
}

#[test]
fn figures_tell_acknowledgement_times_and_overtaken_documents() {
    let mut record = moved();
    record.publish(document(3, &[]), 11_000, None);
    assert_eq!(figures(&record.0).overtaken, 0);
    record.publish(document(4, &[]), 11_000, Some(11_300));
    let figures = figures(&record.0);
    assert_eq!(figures.overtaken, 1);
    assert_eq!(figures.acknowledged, 3);
    assert_eq!(figures.slowest_acknowledgement_ms, 300);
}
