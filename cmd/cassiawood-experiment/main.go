// Command cassiawood-experiment prints the results of the simulations in
// internal/experiment as tables.
package main

import (
	"flag"
	"fmt"
	"os"

	"cassiawood/internal/experiment"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of all random numbers")
	service := flag.String("service", "", "only this service")
	scenario := flag.String("scenario", "", "only this scenario")
	table := flag.String("table", "load", "load: policies in all scenarios; ideas: switches of requests; waves: refusing dependency; flows: long-lived flows")
	flag.Parse()
	var err error
	switch *table {
	case "load", "ideas":
		err = printPolicyTables(*seed, *table, *service, *scenario)
	case "waves":
		err = experiment.PrintWaves(os.Stdout, experiment.Waves(*seed))
	case "flows":
		err = printLongFlows(*seed)
	default:
		err = fmt.Errorf("unknown table %q; use load, ideas, waves or flows", *table)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func printPolicyTables(seed uint64, table, service, scenario string) error {
	for _, s := range experiment.Services {
		if service != "" && s.Name != service {
			continue
		}
		var scenarios []experiment.Scenario
		for _, c := range experiment.Scenarios() {
			if scenario == "" || c.Name == scenario {
				scenarios = append(scenarios, c)
			}
		}
		if table == "ideas" {
			if err := experiment.Print(os.Stdout, experiment.Ideas(s, seed)); err != nil {
				return err
			}
			continue
		}
		results := experiment.RunAll(s, scenarios, experiment.Policies(), seed)
		if err := experiment.Print(os.Stdout, results); err != nil {
			return err
		}
		experiment.PrintShortfalls(os.Stdout, s, results)
	}
	return nil
}

func printLongFlows(seed uint64) error {
	var results []experiment.FlowResult
	for _, s := range experiment.Services {
		for _, p := range experiment.Policies() {
			results = append(results, experiment.RunLongFlows(s, p, seed))
		}
	}
	return experiment.PrintLongFlows(os.Stdout, results)
}
