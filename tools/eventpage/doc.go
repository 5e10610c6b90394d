// Package eventpage holds the test that keeps docs/operate/events.md true.
package eventpage
