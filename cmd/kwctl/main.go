// Command kwctl is the operators' command line. It calls entries and kw-node instances over
// HTTP.
package main

import (
	"context"
	"io"
	"os"
)

func main() {
	os.Exit(int(run(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr, os.Getenv)))
}

// run runs one command line; tests call it with streams of their own.
func run(ctx context.Context, args []string, in io.Reader, out, errs io.Writer, getenv func(string) string) exitStatus {
	c := &console{in: in, out: out, err: errs, entry: getenv("KW_ENTRY"), output: outputTable, tls: tlsFromEnv(getenv)}
	return c.execute(ctx, args)
}
