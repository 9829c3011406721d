package main

import (
	"context"
	"flag"
	"fmt"
	"strings"
)

// action runs a command after its flags have been parsed.
type action func(ctx context.Context, operands []string) error

// command describes a subcommand.
type command struct {
	name     string
	operands []string
	summary  string
	details  string
	offline  bool                                         // needs no control host
	prepare  func(p *program, flags *flag.FlagSet) action // defines the command's flags
}

func commands() []*command {
	return []*command{
		{
			name: "check", operands: []string{"FILE"}, offline: true, prepare: prepareCheck,
			summary: "report every problem in a document, without changing anything",
			details: "Reads the document on this machine only. docs/DOCUMENT.md lists the sentences.",
		},
		{
			name: "diff", operands: []string{"FILE"}, prepare: prepareDiff,
			summary: "show what a save would change",
		},
		{
			name: "save", operands: []string{"FILE"}, prepare: prepareSave,
			summary: "put the changed sections of a document in force",
			details: "Sends the sections that differ from those in force, one after the other, and says where each is\n" +
				"in force. Then it writes the new versions into the headings of FILE. A section that FILE does\n" +
				"not have stays as it is.",
		},
		{
			name: "show", prepare: prepareShow,
			summary: "print the document in force, or an earlier version of a section",
		},
		{
			name: "history", prepare: prepareHistory,
			summary: "list the versions of a section and who saved them",
		},
		{
			name: "take-back", operands: []string{"VERSION"}, prepare: prepareTakeBack,
			summary: "put an earlier version of a section in force again, as a new version",
		},
		{name: "services", prepare: prepareServices, summary: "list the services"},
		{name: "backends", prepare: prepareBackends, summary: "list the backend servers and what they do"},
		{name: "hosts", prepare: prepareHosts, summary: "list the hosts and what they do"},
		{name: "domains", prepare: prepareDomains, summary: "list the failure domains"},
		{
			name: "out-of-service", operands: []string{"DOMAIN"}, prepare: prepareOutOfService,
			summary: "declare a failure domain out of service, or in service again",
			details: "Changes no longer wait for a failure domain that is out of service. Needs the site's token.",
		},
		{
			name: "drain", operands: []string{"HOST"}, prepare: prepareDrain,
			summary: "stop an entry host without breaking a connection",
			details: "The host hands over what it holds and stops. Needs the site's token.",
		},
		{
			name: "audit", operands: []string{"FILE"}, offline: true, prepare: prepareAudit,
			summary: "check that nobody has altered an audit trail",
			details: "Reads a copy of audit.jsonl from a control host's data folder on this machine only. It cannot see\n" +
				"records that are missing at the end: compare the last record's hash with the one noted earlier.",
		},
		{
			name: "keys", offline: true, prepare: prepareKeys,
			summary: "make the certificates and tokens of a site",
			details: "Writes the site's certificate authority, a certificate for each control host, the tokens for the\n" +
				"control hosts' settings, and a directory with a settings file for each team. Files of an earlier run\n" +
				"are kept: to add a host or team, run keys again with the same directory; to renew a certificate or\n" +
				"token, delete its files first. The tokens of each run are in a file of their own.",
		},
	}
}

func findCommand(name string) *command {
	for _, c := range commands() {
		if c.name == name {
			return c
		}
	}
	return nil
}

// overview returns the text of cassiawood -h.
func overview() string {
	var b strings.Builder
	b.WriteString("cassiawood reads and changes the document that a cassiawood site follows.\n\nUsage:\n\n")
	for _, c := range commands() {
		fmt.Fprintf(&b, "  cassiawood %-22s %s\n", strings.Join(append([]string{c.name}, c.operands...), " "), c.summary)
	}
	fmt.Fprintf(&b, `
cassiawood COMMAND -h explains a command and its flags.

The settings file names the control hosts and holds your team's token; cassiawood keys makes it. It is the file
after -settings, else the one that the variable %s names, else %s.

%s`, settingsVariable, defaultSettingsFile(), exitCodesHelp)
	return b.String()
}

// help returns the text of cassiawood COMMAND -h.
func (c *command) help(flags *flag.FlagSet) string {
	var b strings.Builder
	usage := strings.Join(append([]string{"cassiawood", c.name, "[flags]"}, c.operands...), " ")
	fmt.Fprintf(&b, "%s: %s\n", usage, c.summary)
	if c.details != "" {
		fmt.Fprintf(&b, "\n%s\n", c.details)
	}
	b.WriteString("\nFlags:\n")
	flags.SetOutput(&b)
	flags.PrintDefaults()
	b.WriteString("\n" + exitCodesHelp)
	return b.String()
}

func (c *command) describeOperands() string {
	if len(c.operands) == 0 {
		return "flags only"
	}
	return "one " + c.operands[0]
}
