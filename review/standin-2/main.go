// Command review-standin-2 plays one case of the second review: it starts the project's processes against
// stand-ins of the store, the runners, the operator and the consumers, and checks one rule by what these see.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the cases by number. Each gets whether to bring about the disruption.
var cases = map[int]func(w *world, trouble bool){}

func main() {
	number := flag.Int("case", 0, "number of the case")
	dir := flag.String("dir", "", "folder for record.txt")
	logs := flag.String("logs", "", "folder that keeps the logs of the processes; empty: a temporary one")
	flag.Parse()
	os.Exit(play(*number, *dir, *logs))
}

func play(number int, dir, logs string) (code int) {
	f := cases[number]
	if f == nil {
		fmt.Fprintln(os.Stderr, "couldn't run: there is no such case")
		return 2
	}
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "couldn't run:", err)
		return 2
	}
	defer func() { _ = out.Close() }()
	if logs == "" {
		if logs, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, "couldn't run:", err)
			return 2
		}
		defer func() { _ = os.RemoveAll(logs) }()
	}
	w := &world{began: time.Now(), out: out, dir: logs, store: newStore(), tasks: map[string]*taskHistory{}}
	processes.running = map[int]*os.Process{}
	defer endProcesses()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { cannotRun("ended by %v", <-signals) }()
	trouble := os.Getenv("TROUBLE") != "0"
	w.record("case %d, disruption: %t", number, trouble)
	f(w, trouble)
	if len(w.broken) > 0 {
		fmt.Println("broken:", w.broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}
