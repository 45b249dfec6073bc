//! Timelines of requests from log lines.

use ops::explain;

const LOG: &str = r#"
{"msg":"the process applied a newer configuration or deployment","ts":"T01","host":"f1","role":"front","event":1101,"edition":3}
{"msg":"the process applied a newer configuration or deployment","ts":"T02","host":"f1","role":"front","event":1101,"edition":4}
{"msg":"the process applied a newer configuration or deployment","ts":"T02","host":"f2","role":"front","event":1101,"edition":4}
{"msg":"a request was sent to an endpoint","ts":"T03","host":"f1","role":"front","event":2005,"request":"r1","endpoint":"i-1","attempt":1}
{"msg":"a request was sent to an endpoint","ts":"T04","host":"f1","role":"front","event":2005,"request":"r2","endpoint":"i-2","attempt":1}
not a JSON object
  12.5 f1 {"msg":"a response was aborted before its end","ts":"T06","host":"f1","role":"front","event":2003,"request":"r1","ms":40}
{"msg":"endpoints were added, were removed or started to drain","ts":"T05","host":"f1","role":"front","event":1204,"endpoints":11}
{"msg":"endpoints were added, were removed or started to drain","ts":"T09","host":"f1","role":"front","event":1204,"endpoints":12}
"#;

/// Returns time and event number of each line of a request's timeline.
fn timeline(request: &str) -> Vec<(String, u64)> {
    let timeline = explain(LOG.lines(), request);
    timeline
        .lines
        .into_iter()
        .map(|line| (line.time, line.event))
        .collect()
}

case::cases! {
    request_lines_and_state_events_are_ordered_by_time: assert_eq!(
        timeline("r1"),
        [("T02", 1101), ("T03", 2005), ("T05", 1204), ("T06", 2003)].map(|(t, e)| (t.to_owned(), e))
    );
    other_hosts_and_later_state_events_are_omitted: assert!(
        explain(LOG.lines(), "r1").lines.iter().all(|line| line.host == "f1" && line.time.as_str() < "T09")
    );
    unknown_request_has_no_timeline: assert_eq!(timeline("r9"), []);
    lines_without_json_object_are_counted: assert_eq!(explain(LOG.lines(), "r1").skipped, 1);
    fields_are_shown_with_their_names: {
        let timeline = explain(LOG.lines(), "r1");
        let sent = timeline.lines.iter().find(|line| line.event == 2005).unwrap();
        assert!(sent.fields.contains(&"endpoint=i-1".to_owned()));
        assert!(sent.about_request);
    };
}
