//! Searches of property tests that play the same cases on every run, however busy the machine is.

use arbitrary::{Result, Unstructured};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

/// Maximum number of cases of a search.
const MAX_CASES: u64 = 4_000;
/// Smallest size of a case, in bytes; each further one is twice as large, [`SIZES`] in turn.
const MIN_SIZE: usize = 32;
/// Number of sizes.
const SIZES: u64 = 10;

/// Whether one of the cases has what a search looks for. Cases that need more bytes than they
/// have are passed over.
pub fn finds(mut has: impl FnMut(&mut Unstructured<'_>) -> Result<bool>) -> bool {
    (0..MAX_CASES).any(|start| {
        let mut bytes = vec![0; MIN_SIZE << (start % SIZES)];
        StdRng::seed_from_u64(start).fill_bytes(&mut bytes);
        has(&mut Unstructured::new(&bytes)).unwrap_or(false)
    })
}
