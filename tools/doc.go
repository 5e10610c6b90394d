// Package tools pins the versions of developer tools; see the tool lines of go.mod.
package tools
