//! Runs one case of the review: `harness CASE RECORD`. It exits with 1 if the rule was broken,
//! 0 if it held and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod instance;
mod joined;
mod json;
mod odd_entry;
mod popular;
mod record;
mod server;
mod setup;
mod store;
mod upload;
mod wire;

use std::path::Path;
use std::time::Duration;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(path)) = (words.next(), words.next()) else {
        eprintln!("usage: harness CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    record.add(format!("case {case}, with the disruption: {has_trouble}"));
    instance::limit_time(Duration::from_secs(112));
    let verdict = match case.as_str() {
        "upload" => upload::run(&record, has_trouble),
        "rejected" => joined::rejected(&record, has_trouble),
        "failed" => joined::failed(&record, has_trouble),
        "popular" => popular::run(&record, has_trouble),
        "odd-entry" => odd_entry::run(&record, has_trouble),
        _ => Verdict::NotRun("no such case"),
    };
    let code = match verdict {
        Verdict::Held => {
            record.add("result: the rule held");
            0
        }
        Verdict::Broken => {
            record.add("result: THE RULE IS BROKEN");
            1
        }
        Verdict::NotRun(why) => {
            record.add(format!("result: the case couldn't run: {why}"));
            2
        }
    };
    if !record.write(Path::new(&path)) {
        std::process::exit(2);
    }
    std::process::exit(code);
}
