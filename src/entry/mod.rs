//! The entry: owns a request from accept to answer.
