// Command cassiawood-soak runs the programs of the users' platform as separate
// processes, injects faults from outside and checks that the system's guarantees
// hold.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"cassiawood/platform/soak"
)

func main() { os.Exit(run()) }

func run() int {
	var (
		o     soak.Options
		seeds = flag.Int("seeds", 1, "number of seeds to run, starting at -seed")
		keep  = flag.Bool("keep", false, "keep logs and data of seeds that pass")
	)
	flag.Uint64Var(&o.Seed, "seed", uint64(time.Now().UnixNano()%1_000_000), "first `seed`; taken from the clock by default")
	flag.DurationVar(&o.Duration, "for", 20*time.Second, "`time` during which faults are started")
	flag.StringVar(&o.Binaries, "binaries", "target", "`folder` with the programs under test")
	flag.StringVar(&o.Folder, "folder", "", "`folder` for logs and data; a temporary one by default")
	flag.IntVar(&o.AddressByte, "network", 41, "second byte of the loopback addresses")
	flag.IntVar(&o.EntryHostsPerDomain, "entries", 2, "entry hosts in each failure domain")
	flag.IntVar(&o.EndpointsPerDomain, "endpoints", 3, "endpoints of each service in each failure domain")
	flag.IntVar(&o.CallersPerDomain, "callers", 6, "callers on each route in each failure domain")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	base := o.Folder
	if base == "" {
		var err error
		if base, err = os.MkdirTemp("", "cassiawood-soak"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	failed := 0
	for i := range *seeds {
		if ctx.Err() != nil {
			return 1
		}
		if !runSeed(ctx, o, o.Seed+uint64(i), base, *keep) {
			failed++
		}
	}
	fmt.Printf("%d seeds played, %d failed; logs of failed ones are in %s\n", *seeds, failed, base)
	return min(failed, 1)
}

// runSeed runs one seed and reports whether it passed. It removes the run's folder
// after a pass unless keep is set.
func runSeed(ctx context.Context, o soak.Options, seed uint64, base string, keep bool) bool {
	o.Seed, o.Folder = seed, filepath.Join(base, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	log, err := os.Create(filepath.Join(o.Folder, "soak.log"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	defer func() { _ = log.Close() }()
	failures, err := soak.Run(ctx, o, os.Stdout, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		fmt.Println("not played:", err)
	}
	passed := err == nil && len(failures) == 0
	if passed && !keep {
		_ = os.RemoveAll(o.Folder) // a folder that is left behind does no harm
	}
	return passed
}
