// Command cassiawood-explain asks a running entry host of the users' platform where the first packet of a new flow would
// go now, and why. It sends no packet.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"cassiawood/internal/explain"
)

const (
	// queryTimeout is above the time limit of the entry host's telemetry server.
	queryTimeout = 15 * time.Second
	// maxReportBytes is far above the report of the largest deployment: a candidate takes about 500 bytes.
	maxReportBytes = 16 << 20

	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// options are the command line.
type options struct {
	host, route, caller string
	seq                 string
	json                bool
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run returns the exit code.
func run(args []string, out, diagnostics io.Writer) int {
	log := slog.New(slog.NewTextHandler(diagnostics, nil))
	o, err := parseOptions(args, diagnostics)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		log.Error("invalid command line", "error", err)
		return exitUsage
	}
	report, err := fetch(o)
	if err == nil {
		err = report.Err()
	}
	if err == nil {
		err = write(report, o, out)
	}
	if err != nil {
		log.Error("no explanation", "host", o.host, "route", o.route, "error", err)
		return exitError
	}
	return exitOK
}

func parseOptions(args []string, diagnostics io.Writer) (options, error) {
	var o options
	flags := flag.NewFlagSet("cassiawood-explain", flag.ContinueOnError)
	flags.SetOutput(diagnostics)
	flags.StringVar(&o.host, "host", "", "telemetry `ADDRESS:PORT` of the entry host")
	flags.StringVar(&o.route, "route", "", "`ADDRESS:PORT` of the route")
	flags.StringVar(&o.caller, "caller", "", "`ADDRESS:PORT` of the caller")
	flags.StringVar(&o.seq, "seq", "", "sequence `NUMBER` of the first packet; with -caller, it selects one of several services of a route")
	flags.BoolVar(&o.json, "json", false, "print the report as JSON instead of tables")
	if err := flags.Parse(args); err != nil {
		return o, err
	}
	if flags.NArg() > 0 {
		return o, fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	if o.host == "" {
		return o, errors.New("-host is missing")
	}
	if _, err := netip.ParseAddrPort(o.route); err != nil {
		return o, fmt.Errorf("-route: %w", err)
	}
	if o.caller != "" {
		if _, err := netip.ParseAddrPort(o.caller); err != nil {
			return o, fmt.Errorf("-caller: %w", err)
		}
	}
	if o.seq != "" {
		if _, err := strconv.ParseUint(o.seq, 10, 32); err != nil {
			return o, fmt.Errorf("-seq: %w", err)
		}
	}
	return o, nil
}

// fetch queries the host.
func fetch(o options) (report explain.Report, err error) {
	values := url.Values{"route": {o.route}}
	if o.caller != "" {
		values.Set("caller", o.caller)
	}
	if o.seq != "" {
		values.Set("seq", o.seq)
	}
	target := url.URL{Scheme: "http", Host: o.host, Path: explain.Path, RawQuery: values.Encode()}
	client := http.Client{Timeout: queryTimeout}
	response, err := client.Get(target.String())
	if err != nil {
		return report, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return report, fmt.Errorf("read the answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return report, fmt.Errorf("the host answered %s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return report, fmt.Errorf("the answer is not an explanation: %w", err)
	}
	return report, nil
}

func write(report explain.Report, o options, out io.Writer) error {
	if !o.json {
		return report.WriteTable(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
