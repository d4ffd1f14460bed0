//! This instance's view of the targets, and the selection of one for a request.

pub(crate) mod load;
pub(crate) mod load_curve;
pub(crate) mod notice;
pub(crate) mod placement;
pub(crate) mod precheck;
pub(super) mod probe;
pub(super) mod selection;
pub(crate) mod supply;
pub(crate) mod target_limit;
pub(crate) mod target_path;
pub(crate) mod targets;
