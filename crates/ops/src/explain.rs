//! Extracts the timeline of one request from the log lines of any number of processes.

use serde_json::{
    Map,
    Value, //
};

/// The log lines about a request, and the state changes of the processes that handled it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Timeline {
    /// The lines, ordered by time.
    pub lines: Vec<TimelineEntry>,
    /// Number of input lines without a JSON object.
    pub skipped: usize,
}

/// One line of a timeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineEntry {
    /// The line's timestamp, as in the log.
    pub time: String,
    /// The host that wrote the line.
    pub host: String,
    /// The event number.
    pub event: u64,
    /// The event's message.
    pub text: String,
    /// The other fields, as `name=value`.
    pub fields: Vec<String>,
    /// Whether the line is about the request itself. Otherwise it reports a state change of a host
    /// that handled the request.
    pub about_request: bool,
}

/// Events that report a process's view of the control group (11xx) and of the endpoints (12xx).
const STATE_EVENTS: std::ops::Range<u64> = 1100..1300;
/// Fields that every log line has.
const COMMON_FIELDS: [&str; 6] = ["msg", "level", "ts", "host", "role", "event"];

/// Returns the timeline of the request with the given identity.
pub fn explain<'a>(lines: impl Iterator<Item = &'a str>, request: &str) -> Timeline {
    let mut timeline = Timeline::default();
    let mut all = Vec::new();
    for line in lines.filter(|line| !line.trim().is_empty()) {
        // A log collector may put a timestamp and a host name before the JSON object.
        let object = line.find('{').map(|start| &line[start..]);
        match object.and_then(|text| serde_json::from_str(text).ok()) {
            Some(Value::Object(fields)) => all.extend(entry(&fields, request)),
            _ => timeline.skipped += 1,
        }
    }
    all.sort_by(|a: &TimelineEntry, b| a.time.cmp(&b.time));
    let request_lines: Vec<_> = all
        .iter()
        .filter(|line| line.about_request)
        .cloned()
        .collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return timeline;
    };
    let (first, last) = (first.time.clone(), last.time.clone());
    let handled_request =
        |line: &TimelineEntry| request_lines.iter().any(|entry| entry.host == line.host);
    // Each host's last state event of each kind before the request, and all during the request.
    let mut before: Vec<TimelineEntry> = Vec::new();
    for line in all
        .iter()
        .filter(|line| !line.about_request && handled_request(line))
    {
        if line.time < first {
            before.retain(|earlier| (earlier.event, &earlier.host) != (line.event, &line.host));
            before.push(line.clone());
        }
    }
    let during_request = |line: &&TimelineEntry| line.time >= first && line.time <= last;
    let during = all
        .iter()
        .filter(|line| line.about_request || handled_request(line))
        .filter(during_request);
    timeline.lines = before.into_iter().chain(during.cloned()).collect();
    timeline.lines.sort_by(|a, b| a.time.cmp(&b.time));
    timeline
}

/// Returns an entry for a log line about the request or about a process's state.
fn entry(fields: &Map<String, Value>, request: &str) -> Option<TimelineEntry> {
    let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default();
    let event = fields.get("event")?.as_u64()?;
    let about_request = text("request") == request;
    if !about_request && !STATE_EVENTS.contains(&event) {
        return None;
    }
    let other_fields = fields
        .iter()
        .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()) && *name != "request");
    let format_field = |(name, value): (&String, &Value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    };
    Some(TimelineEntry {
        time: text("ts").to_owned(),
        host: text("host").to_owned(),
        event,
        text: text("msg").to_owned(),
        fields: other_fields.map(format_field).collect(),
        about_request,
    })
}
