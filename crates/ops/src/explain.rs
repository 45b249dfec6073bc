//! The timeline of one request, from the log lines of any number of processes.

use serde_json::{
    Map,
    Value, //
};

/// What is known of a request: lines about it, and what its processes came to believe meanwhile.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Timeline {
    /// The lines in order of time.
    pub lines: Vec<TimelineEntry>,
    /// Lines that are no JSON objects.
    pub skipped: usize,
}

/// One line of a timeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineEntry {
    /// When it was written, as the log says it.
    pub time: String,
    /// The host that wrote it.
    pub host: String,
    /// The event's number.
    pub event: u64,
    /// What happened.
    pub text: String,
    /// The other fields, as `name=value`.
    pub fields: Vec<String>,
    /// Whether it is about the request itself.
    pub about_request: bool,
}

/// Event numbers of what a process believes of the control group and the endpoints: 11xx and 12xx.
const BELIEFS: std::ops::Range<u64> = 1100..1300;
/// Fields that every line has.
const COMMON: [&str; 6] = ["msg", "level", "ts", "host", "role", "event"];

/// Tells the timeline of the request with an identity.
pub fn explain<'a>(lines: impl Iterator<Item = &'a str>, request: &str) -> Timeline {
    let mut timeline = Timeline::default();
    let mut all = Vec::new();
    for line in lines.filter(|line| !line.trim().is_empty()) {
        // Whatever collects the logs may put a time and a host before the object.
        let object = line.find('{').map(|at| &line[at..]);
        match object.and_then(|text| serde_json::from_str(text).ok()) {
            Some(Value::Object(fields)) => all.extend(read(&fields, request)),
            _ => timeline.skipped += 1,
        }
    }
    all.sort_by(|a: &TimelineEntry, b| a.time.cmp(&b.time));
    let own: Vec<_> = all
        .iter()
        .filter(|line| line.about_request)
        .cloned()
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return timeline;
    };
    let (first, last) = (first.time.clone(), last.time.clone());
    let concerned = |line: &TimelineEntry| own.iter().any(|other| other.host == line.host);
    // The newest belief of each kind from before the request, and all during it.
    let mut before: Vec<TimelineEntry> = Vec::new();
    for line in all
        .iter()
        .filter(|line| !line.about_request && concerned(line))
    {
        if line.time < first {
            before.retain(|other| (other.event, &other.host) != (line.event, &line.host));
            before.push(line.clone());
        }
    }
    let within = |line: &&TimelineEntry| line.time >= first && line.time <= last;
    let during = all
        .iter()
        .filter(|line| line.about_request || concerned(line))
        .filter(within);
    timeline.lines = before.into_iter().chain(during.cloned()).collect();
    timeline.lines.sort_by(|a, b| a.time.cmp(&b.time));
    timeline
}

/// A line that may belong to the timeline.
fn read(fields: &Map<String, Value>, request: &str) -> Option<TimelineEntry> {
    let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default();
    let event = fields.get("event")?.as_u64()?;
    let about_request = text("request") == request;
    if !about_request && !BELIEFS.contains(&event) {
        return None;
    }
    let rest = fields
        .iter()
        .filter(|(name, _)| !COMMON.contains(&name.as_str()) && *name != "request");
    let show = |(name, value): (&String, &Value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    };
    Some(TimelineEntry {
        time: text("ts").to_owned(),
        host: text("host").to_owned(),
        event,
        text: text("msg").to_owned(),
        fields: rest.map(show).collect(),
        about_request,
    })
}
