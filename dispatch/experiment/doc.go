// Package experiment measures the dispatch core against other ways of serving
// the same requests: open-loop arrivals in virtual time, so that every run with
// the same seed gives the same figures.
package experiment
