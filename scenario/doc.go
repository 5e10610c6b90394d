// Package scenario contains scripted end-to-end tests: each starts a small cell of separate
// processes and takes it through a failure. The scripts are in testdata/script.
package scenario
