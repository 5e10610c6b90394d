// Package experiment compares the dispatch core with other ways of serving the same requests. It
// simulates open-loop arrivals in virtual time, so that every run with the same seed gives the
// same result.
package experiment
