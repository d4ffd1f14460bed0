//! What was sent, answered and run, with times.

use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}", text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn write(&self, path: &std::path::Path) -> bool {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        std::fs::write(path, text).is_ok()
    }
}
