//! The explanation of a request from log lines of several nodes.

use std::time::Duration;

use mimosabridge_tools::explain::{Explanation, Line, Reader};

const BEFORE: Duration = Duration::from_secs(10);

/// Log lines in arbitrary order, among them a line of another program.
const LINES: &str = r#"
{"event":5001,"level":"INFO","message":"node started","node":"vm-1","time":"2026-09-01T18:05:00.000Z"}
{"event":5111,"level":"INFO","message":"backend server suspected","server":"i-1","source":"peer","time":"2026-09-01T18:05:17.100Z"}
{"event":5111,"level":"INFO","message":"backend server suspected","server":"i-7","source":"peer","time":"2026-09-01T18:05:17.200Z"}
{"event":5111,"level":"INFO","message":"backend server suspected","server":"i-1","source":"peer","time":"2026-09-01T18:05:01.000Z"}
{"detail":"Fail(Broken)","event":5204,"id":"aa","level":"WARN","message":"request failed","millis":3,"missing":"s1: 3 known","outcome":"failed","rule":"r","sends":1,"time":"2026-09-01T18:05:18.419Z","version":2}
{"end":"broken","error":"the connection ended","event":5207,"hedge":"false","id":"aa","level":"INFO","message":"attempt failed","millis":2,"rule":"r","server":"i-1","service":"s1","status":0,"time":"2026-09-01T18:05:18.418Z"}
{"event":5203,"id":"bb","level":"INFO","message":"request refused","millis":0,"missing":"s2: 3 known, none with room","outcome":"refused","rule":"r","sends":0,"time":"2026-09-01T18:05:19.000Z","version":2}
{"event":5203,"id":"cc","level":"INFO","message":"request refused","reason":"the content crashes servers","time":"2026-09-01T18:05:19.100Z"}
{"age_millis":9,"event":5109,"fingerprint":"f1","level":"WARN","message":"backend server may have crashed","quarantined":"true","repeat":"true","server":"i-8","source":"peer","time":"2026-09-01T18:03:00.000Z"}
{"age_millis":9,"event":5109,"fingerprint":"f2","level":"WARN","message":"backend server may have crashed","quarantined":"false","repeat":"false","server":"i-9","source":"peer","time":"2026-09-01T18:05:18.000Z"}
{"event":5203,"fingerprint":"f1","id":"ee","level":"INFO","message":"request refused","reason":"the content crashes servers","rule":"r","time":"2026-09-01T18:05:19.200Z","version":2}
{"detail":"Merge","event":5202,"id":"dd","level":"INFO","message":"request served in part","millis":185,"missing":"s3: 3 known","outcome":"partial","rule":"r","sends":13,"time":"2026-09-01T18:05:20.000Z","version":2}
{"end":"invalid","error":"","event":5207,"hedge":"true","id":"dd","level":"INFO","message":"attempt failed","millis":37,"rule":"r","server":"i-3","service":"s3","status":200,"time":"2026-09-01T18:05:19.900Z"}
{"end":"shed","error":"","event":5207,"hedge":"false","id":"dd","level":"INFO","message":"attempt failed","millis":2,"rule":"r","server":"i-4","service":"s4","status":503,"time":"2026-09-01T18:05:19.850Z"}
not a line of a node
"#;

fn lines(file: &str, text: &str) -> Vec<Line> {
    let mut reader = Reader::new(file);
    text.lines().filter_map(|it| reader.read(it)).collect()
}

fn explanation(id: &str) -> Explanation {
    Explanation::new(id, &lines("a.log", LINES), BEFORE).expect("a line has the ID")
}

#[test]
fn unknown_outcome() {
    let explanation = explanation("aa");
    assert_eq!(explanation.lines.iter().map(|it| it.event).collect::<Vec<_>>(), [5207, 5204]);
    assert!(explanation.cause.contains("may have run"), "{}", explanation.cause);
    assert!(explanation.cause.contains("i-1 of s1 ended broken after 2 ms (the connection ended)"));
    assert_eq!(
        explanation.state_changes.len(),
        1,
        "only recent changes of its own server: {explanation}"
    );
    assert!(explanation.to_string().contains("vm-1 5204 request failed"));
}

#[test]
fn refused_overload() {
    let cause = explanation("bb").cause;
    assert_eq!(cause, "refused, it has not run; the node believed: s2: 3 known, none with room");
}

#[test]
fn refused_for_reason() {
    assert_eq!(explanation("cc").cause, "refused, it has not run: the content crashes servers");
}

/// The crashes of a content count for minutes.
#[test]
fn crashes_of_content() {
    let changes = explanation("ee").state_changes;
    let servers: Vec<_> = changes.iter().filter_map(|it| it.text("server")).collect();
    assert_eq!(servers, ["i-8"], "crashes of other contents do not matter");
}

#[test]
fn partial_cause() {
    let cause = explanation("dd").cause;
    assert!(cause.contains("without s3") && cause.contains("i-3 of s3 ended invalid"), "{cause}");
    assert!(!cause.contains("i-4"), "the shard of i-4 was served: {cause}");
}

#[test]
fn unknown_id() {
    assert_eq!(Explanation::new("zz", &lines("a.log", LINES), BEFORE), None);
}

/// A log collector may merge the lines of all nodes and put the name of the node before each.
#[test]
fn prefix_names_node() {
    let text = r#"  0.42 vm-9 {"event":5206,"id":"ee","message":"caller left","time":"2026-09-01T18:05:18Z","millis":7}"#;
    let lines = lines("all.log", text);
    assert_eq!(lines[0].node, "vm-9");
    let explanation = Explanation::new("ee", &lines, BEFORE).expect("a line has the ID");
    assert_eq!(explanation.cause, "the caller left after 7 ms");
}
