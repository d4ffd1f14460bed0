//! Validates a settings text and reports all of its problems at once.
//!
//! The default settings serve as the schema: each given field in turn replaces the
//! default, so that a failure to parse belongs to one known path.

use serde_json::{Map, Value};

use super::Settings;

/// Parses settings, or returns every problem with the path of its field.
pub(super) fn parse(text: &str) -> Result<Settings, Vec<String>> {
    let given: Value =
        serde_json::from_str(text).map_err(|err| vec![format!("not JSON: {err}")])?;
    let Value::Object(given) = given else {
        return Err(vec!["the settings must be a JSON object".to_owned()]);
    };
    let schema = serde_json::to_value(Settings::default()).unwrap_or_default();
    let mut merger = Merger {
        merged: schema.clone(),
        problems: Vec::new(),
    };
    merger.merge_object(&given, &schema, &mut Vec::new());
    finish(merger)
}

fn finish(merger: Merger) -> Result<Settings, Vec<String>> {
    let mut problems = merger.problems;
    match serde_json::from_value::<Settings>(merger.merged) {
        Ok(settings) => {
            problems.extend(settings.problems());
            if problems.is_empty() {
                return Ok(settings);
            }
        }
        Err(err) => problems.push(err.to_string()),
    }
    Err(problems)
}

/// Merges the given fields into the default settings, one at a time.
struct Merger {
    /// The default settings with every valid field seen so far.
    merged: Value,
    problems: Vec<String>,
}

impl Merger {
    fn merge_object(&mut self, given: &Map<String, Value>, schema: &Value, path: &mut Vec<String>) {
        for (name, value) in given {
            path.push(name.clone());
            match schema.get(name) {
                None => self.report_unknown(name, schema, path),
                Some(inner @ Value::Object(_)) => self.merge_nested(value, inner, path),
                Some(_) => self.merge_leaf(value, path),
            }
            path.pop();
        }
    }

    fn merge_nested(&mut self, value: &Value, schema: &Value, path: &mut Vec<String>) {
        match value {
            Value::Object(fields) => self.merge_object(fields, schema, path),
            _ => self
                .problems
                .push(format!("{}: must be an object", path.join("."))),
        }
    }

    fn merge_leaf(&mut self, value: &Value, path: &[String]) {
        let mut candidate = self.merged.clone();
        set_at_path(&mut candidate, path, value.clone());
        match serde_json::from_value::<Settings>(candidate.clone()) {
            Ok(_) => self.merged = candidate,
            Err(err) => self.problems.push(format!("{}: {err}", path.join("."))),
        }
    }

    fn report_unknown(&mut self, name: &str, schema: &Value, path: &[String]) {
        let known = schema
            .as_object()
            .into_iter()
            .flatten()
            .map(|(known, _)| known.as_str());
        let hint = known
            .min_by_key(|known| strsim::levenshtein(known, name))
            .map(|known| format!("; did you mean `{known}`?"))
            .unwrap_or_default();
        self.problems
            .push(format!("{}: unknown field{hint}", path.join(".")));
    }
}

fn set_at_path(root: &mut Value, path: &[String], value: Value) {
    let slot = path.iter().try_fold(root, |node, name| node.get_mut(name));
    if let Some(slot) = slot {
        *slot = value;
    }
}
