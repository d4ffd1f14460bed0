//! Roles of the processes that the bench starts from its own executable.

pub(crate) mod balancer;
pub(crate) mod platform;

use std::io::{BufRead, Write};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Reads one message from standard input; `None` after the parent has closed it.
fn read<T: DeserializeOwned>() -> Result<Option<T>, Error> {
    let mut line = String::new();
    if std::io::stdin().lock().read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(serde_json::from_str(&line)?))
}

/// Writes one message to standard output.
fn write(msg: &impl Serialize) -> Result<(), Error> {
    let mut line = serde_json::to_string(msg)?;
    line.push('\n');
    let mut stdout = std::io::stdout().lock();
    stdout.write_all(line.as_bytes())?;
    Ok(stdout.flush()?)
}
