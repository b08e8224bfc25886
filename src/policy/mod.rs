//! Decisions: pure functions of a borrowed view and the time.
