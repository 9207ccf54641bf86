//! Splits a stream of server-sent events into complete events. Only these are forwarded, so that a stream can be
//! resumed at another replica after the last of them.

/// Complete events, taken from the front of a buffer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The events as they were sent.
    pub bytes: Vec<u8>,
    /// The id of the last of them that has one.
    pub last_id: Option<String>,
}

/// The bytes of a stream that are not forwarded yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBuffer {
    /// From the start of the first event that is not complete.
    bytes: Vec<u8>,
    /// Where the line starts that is not complete.
    line: usize,
}

/// The value of an event's last `id` field.
/// ```
/// assert_eq!(stream_router::events::event_id(b"id: 12\ndata: x\n\n"), Some("12"));
/// assert_eq!(stream_router::events::event_id(b"data: x\n\n"), None);
/// ```
pub fn event_id(event: &[u8]) -> Option<&str> {
    let lines = event.split(|b| *b == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.next_back().and_then(|value| std::str::from_utf8(value.strip_prefix(b" ").unwrap_or(value)).ok())
}

fn is_empty_line(line: &[u8]) -> bool {
    line.is_empty() || line == b"\r"
}

impl EventBuffer {
    /// Adds bytes, and takes the events that they complete.
    /// ```
    /// use stream_router::events::EventBuffer;
    /// let mut events = EventBuffer::default();
    /// let complete = events.push(b"id: 1\ndata: a\n\nid: 2\nda");
    /// assert_eq!((complete.bytes, complete.last_id), (b"id: 1\ndata: a\n\n".to_vec(), Some("1".to_string())));
    /// assert_eq!(events.push(b"ta: b\n\n").last_id, Some("2".to_string()));
    /// assert!(events.is_empty());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> CompleteEvents {
        let mut unread = self.bytes.len();
        self.bytes.extend_from_slice(bytes);
        let (mut event, mut last_id) = (0, None);
        while let Some(length) = self.bytes[unread..].iter().position(|byte| *byte == b'\n') {
            let (line, line_end) = (self.line, unread + length);
            unread = line_end + 1;
            self.line = unread;
            // An event ends behind an empty line that is not its first one.
            if line > event && is_empty_line(&self.bytes[line..line_end]) {
                last_id = event_id(&self.bytes[event..unread]).map(str::to_string).or(last_id);
                event = unread;
            }
        }
        if event == 0 {
            return CompleteEvents::default();
        }
        self.line -= event;
        let rest = self.bytes.split_off(event);
        CompleteEvents { bytes: std::mem::replace(&mut self.bytes, rest), last_id }
    }

    /// How many bytes wait for the end of their event.
    /// ```
    /// let mut events = stream_router::events::EventBuffer::default();
    /// events.push(b"data: a\n\nda");
    /// assert_eq!(events.len(), 2);
    /// ```
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether no incomplete event is left.
    /// ```
    /// assert!(stream_router::events::EventBuffer::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes the incomplete event: a stream may end without an empty line.
    /// ```
    /// assert!(stream_router::events::EventBuffer::default().take_rest().is_empty());
    /// ```
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(self).bytes
    }

    /// Drops the incomplete event: the attempt broke, and another one resumes before it.
    /// ```
    /// let mut events = stream_router::events::EventBuffer::default();
    /// events.push(b"id: 3\nda");
    /// events.clear();
    /// assert!(events.is_empty());
    /// ```
    pub fn clear(&mut self) {
        *self = EventBuffer::default();
    }
}
