// Package tools pins the developers' tools; see the tool lines of go.mod.
package tools
