//! Agreement through the platform: configuration, membership, leases, claims.
