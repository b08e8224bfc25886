//! Group duties: expert maps of a model group and the orders that install them.
