//! Events of a stream, cut from its bytes: only whole ones are passed on, so that a stream can go on at
//! another replica after the last of them.

/// Bytes that have come and are not passed on yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    held: Vec<u8>,
}

fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte == b'\n' {
            let text = &bytes[line..at];
            if at > 0 && (text.is_empty() || text == b"\r") && line > 0 {
                return Some(at + 1);
            }
            line = at + 1;
        }
    }
    None
}

/// The id of an event, if it has one.
/// ```
/// assert_eq!(stream_router::events::id(b"id: 12\ndata: x\n\n"), Some("12"));
/// assert_eq!(stream_router::events::id(b"data: x\n\n"), None);
/// ```
pub fn id(event: &[u8]) -> Option<&str> {
    let lines = event.split(|b| *b == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.next_back().and_then(|value| std::str::from_utf8(value.strip_prefix(b" ").unwrap_or(value)).ok())
}

impl Events {
    /// Takes bytes; gives the whole events that they complete, in one piece, and the id of the last of those.
    /// ```
    /// use stream_router::events::Events;
    /// let mut events = Events::default();
    /// assert_eq!(events.take(b"id: 1\ndata: a\n\nid: 2\nda"), (b"id: 1\ndata: a\n\n".to_vec(), Some("1".to_string())));
    /// assert_eq!(events.take(b"ta: b\n\n").1, Some("2".to_string()));
    /// assert!(events.empty());
    /// ```
    pub fn take(&mut self, bytes: &[u8]) -> (Vec<u8>, Option<String>) {
        self.held.extend_from_slice(bytes);
        let (mut upto, mut last) = (0, None);
        while let Some(length) = end_of_event(&self.held[upto..]) {
            if let Some(id) = id(&self.held[upto..upto + length]) {
                last = Some(id.to_string());
            }
            upto += length;
        }
        let rest = self.held.split_off(upto);
        (std::mem::replace(&mut self.held, rest), last)
    }

    /// Whether nothing is held back.
    /// ```
    /// assert!(stream_router::events::Events::default().empty());
    /// ```
    pub fn empty(&self) -> bool {
        self.held.is_empty()
    }

    /// What is held back: a stream may end without an empty line.
    /// ```
    /// assert!(stream_router::events::Events::default().rest().is_empty());
    /// ```
    pub fn rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.held)
    }

    /// Forgets what is held back: its run broke, another one goes on.
    /// ```
    /// let mut events = stream_router::events::Events::default();
    /// events.take(b"id: 3\nda");
    /// events.forget();
    /// assert!(events.empty());
    /// ```
    pub fn forget(&mut self) {
        self.held.clear();
    }
}
