// Command cassiawood-experiment prints the tables of internal/experiment.
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
	flag.Parse()
	if err := run(*seed, *service, *scenario); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(seed uint64, service, scenario string) error {
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
		results := experiment.RunAll(s, scenarios, experiment.Policies(), seed)
		if err := experiment.Print(os.Stdout, results); err != nil {
			return err
		}
	}
	return nil
}
