package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"unicode"

	"cassiawood/internal/document"
	"cassiawood/internal/operator"
)

// pickSection returns the section in force with the given heading. An empty
// heading stands for the team's only section.
func (p *program) pickSection(ctx context.Context, heading string) (document.Section, error) {
	if heading != "" {
		return p.backend.Section(ctx, heading, 0)
	}
	sections, err := p.backend.Sections(ctx)
	if err != nil {
		return document.Section{}, err
	}
	var own []document.Section
	for _, s := range sections {
		if s.Team == p.settings.Team {
			own = append(own, s)
		}
	}
	if len(own) != 1 {
		return document.Section{}, &usageError{fmt.Sprintf("team %q has %s; choose one with -section HEADING",
			p.settings.Team, count(len(own), "section"))}
	}
	return own[0], nil
}

func prepareShow(p *program, flags *flag.FlagSet) action {
	heading := flags.String("section", "", "only the section with this `heading`")
	version := flags.Uint64("version", 0, "an earlier `version` of the section")
	file := flags.String("o", "", "write to this new `file` instead of printing")
	return func(ctx context.Context, _ []string) error {
		sections, err := p.sectionsToShow(ctx, *heading, *version)
		if err != nil {
			return err
		}
		if *file == "" {
			return p.print(document.FormatDocument(sections), operator.SectionsJSON(sections))
		}
		if err := createFile(*file, []byte(document.FormatDocument(sections)), 0o644); err != nil {
			return &usageError{err.Error()}
		}
		return p.print(fmt.Sprintf("wrote %s to %s\n", count(len(sections), "section"), *file), operator.SectionsJSON(sections))
	}
}

func (p *program) sectionsToShow(ctx context.Context, heading string, version uint64) ([]document.Section, error) {
	if heading == "" && version == 0 {
		return p.backend.Sections(ctx)
	}
	section, err := p.pickSection(ctx, heading)
	if err == nil && version > 0 {
		section, err = p.backend.Section(ctx, section.Heading, version)
	}
	return []document.Section{section}, err
}

// createFile creates a file and fails if it exists.
func createFile(file string, text []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	if _, err := f.Write(text); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func prepareHistory(p *program, flags *flag.FlagSet) action {
	heading := flags.String("section", "", "`heading` of the section (default: your team's only one)")
	return func(ctx context.Context, _ []string) error {
		section, err := p.pickSection(ctx, *heading)
		if err != nil {
			return err
		}
		revisions, err := p.backend.History(ctx, section.Heading)
		if err != nil {
			return err
		}
		rows := [][]string{{"VERSION", "SAVED", "TEAM", "AUTHOR"}}
		for _, r := range revisions {
			rows = append(rows, []string{fmt.Sprint(r.Version), r.At.Local().Format("2 Jan 2006 15:04:05"), r.Team, r.Author})
		}
		return p.print(table(rows), revisions)
	}
}

func prepareServices(p *program, _ *flag.FlagSet) action {
	return func(ctx context.Context, _ []string) error {
		services, err := p.backend.Services(ctx)
		if err != nil {
			return err
		}
		rows := [][]string{{"SERVICE", "ADDRESS", "TEAM", "STATE"}}
		for _, s := range services {
			rows = append(rows, []string{s.Name, s.Address + " " + s.Protocol, s.Team, describeService(s)})
		}
		return p.print(table(rows), services)
	}
}

func prepareBackends(p *program, flags *flag.FlagSet) action {
	service := flags.String("service", "", "only the backend servers of this `service`")
	return func(ctx context.Context, _ []string) error {
		all, err := p.backend.BackendServers(ctx)
		if err != nil {
			return err
		}
		chosen := []operator.BackendServer{}
		rows := [][]string{{"BACKEND SERVER", "SERVICE", "ADDRESS", "FAILURE DOMAIN", "STATE"}}
		for _, b := range all {
			if *service == "" || b.Service == *service {
				chosen = append(chosen, b)
				rows = append(rows, []string{b.Instance, b.Service, b.Address, b.Domain, describeBackendServer(b)})
			}
		}
		return p.print(table(rows), chosen)
	}
}

func prepareHosts(p *program, _ *flag.FlagSet) action {
	return func(ctx context.Context, _ []string) error {
		hosts, err := p.backend.Hosts(ctx)
		if err != nil {
			return err
		}
		rows := [][]string{{"HOST", "KIND", "FAILURE DOMAIN", "STATE"}}
		for _, h := range hosts {
			rows = append(rows, []string{h.Name, h.Kind, h.Domain, describeHost(h)})
		}
		return p.print(table(rows), hosts)
	}
}

func prepareDomains(p *program, _ *flag.FlagSet) action {
	return func(ctx context.Context, _ []string) error {
		domains, err := p.backend.FailureDomains(ctx)
		if err != nil {
			return err
		}
		rows := [][]string{{"FAILURE DOMAIN", "STATE"}}
		for _, d := range domains {
			rows = append(rows, []string{d.Name, describeFailureDomain(d)})
		}
		return p.print(table(rows), domains)
	}
}

func prepareOutOfService(p *program, flags *flag.FlagSet) action {
	undo := flags.Bool("undo", false, "declare the failure domain in service again")
	return func(ctx context.Context, operands []string) error {
		change := operator.DomainChange{ID: p.newID(), Author: p.author, Domain: operands[0], OutOfService: !*undo}
		if err := p.backend.DeclareOutOfService(ctx, change); err != nil {
			return err
		}
		state := "out of service; changes no longer wait for it"
		if *undo {
			state = "in service again; changes wait for it"
		}
		return p.print(fmt.Sprintf("failure domain %s is %s\n", operands[0], state), change)
	}
}

func prepareDrain(p *program, _ *flag.FlagSet) action {
	return func(ctx context.Context, operands []string) error {
		drain := operator.HostDrain{ID: p.newID(), Author: p.author, Host: operands[0]}
		if err := p.backend.DrainHost(ctx, drain); err != nil {
			return err
		}
		return p.print(fmt.Sprintf("host %s hands over its connections and stops; cassiawood hosts shows how far it is\n", operands[0]), drain)
	}
}

// replaceUnprintable replaces a character that could control the terminal, since
// backend servers choose some of the printed names.
func replaceUnprintable(r rune) rune {
	if unicode.IsPrint(r) {
		return r
	}
	return '?'
}

// table returns rows as text with aligned columns.
func table(rows [][]string) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = strings.Map(replaceUnprintable, cell)
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	w.Flush()
	return b.String()
}
