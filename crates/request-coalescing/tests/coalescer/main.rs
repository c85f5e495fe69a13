//! Tests of the coalescer's decisions: which reads share a flight, and what each waiter is
//! answered.

mod any_event_order;
mod bounds;
mod flight_outcomes;
mod flight_sharing;
mod harness;
mod hung_flights;
mod retries;
mod waiter_deadlines;
mod write_ordering;
