// Package scenario holds the scripted scenarios: each starts a small cell of
// separate processes and drives it through a failure. See testdata/script.
package scenario
