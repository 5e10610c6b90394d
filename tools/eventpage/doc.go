// Package eventpage contains the test that compares docs/operate/events.md with the
// code.
package eventpage
