package lab

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Action is a change of the lab during a run.
type Action interface {
	fmt.Stringer
	do(c *runner) error
}

// FabricAction applies a fault to the fabric.
type FabricAction struct{ Fault Fault }

func (a FabricAction) do(c *runner) error { return c.lab.fabric.Apply(a.Fault) }

// String describes the action.
func (a FabricAction) String() string { return fmt.Sprintf("%T%+v", a.Fault, a.Fault) }

// BackendAction drains, stops or starts the named backend server. The verbs are
// drain, leave, restart (leave and start again on the same address), crash, start
// and silence (drop the packets of its oldest connection).
type BackendAction struct{ Verb, Name string }

// String describes the action.
func (a BackendAction) String() string { return a.Verb + " " + a.Name }

func (a BackendAction) do(c *runner) error {
	b := c.backends[a.Name]
	if b == nil {
		return fmt.Errorf("no backend server %q", a.Name)
	}
	if a.Verb == "start" {
		return c.startInstance(b)
	}
	if b.instance == nil {
		return fmt.Errorf("backend server %q is not running", a.Name)
	}
	switch a.Verb {
	case "drain":
		return b.instance.Drain()
	case "leave":
		return b.instance.Leave()
	case "restart":
		b.restarting = true
		return b.instance.Leave()
	case "crash":
		return c.crashInstance(b)
	case "silence":
		c.expectedBreaks[b.config.Service]++
		_, err := b.instance.SilenceOldestConnection()
		return err
	default:
		return fmt.Errorf("unknown action %q", a.Verb)
	}
}

// FaultAction sets the faults in what the named backend server reports about itself.
type FaultAction struct {
	Name   string
	Faults BackendFaults
}

// String describes the action.
func (a FaultAction) String() string { return fmt.Sprintf("faults of %s: %+v", a.Name, a.Faults) }

func (a FaultAction) do(c *runner) error {
	b := c.backends[a.Name]
	if b == nil || b.instance == nil {
		return fmt.Errorf("backend server %q is not running", a.Name)
	}
	return b.instance.SetFaults(a.Faults)
}

func sortedByTime(timeline []TimedAction) []TimedAction {
	sorted := append([]TimedAction(nil), timeline...)
	sort.SliceStable(sorted, func(a, b int) bool { return sorted[a].At < sorted[b].At })
	return sorted
}

// ParseTimedAction parses an action such as "5s drain order-desk-1". The verbs are:
//
//	drain|leave|restart|crash|start|silence BACKEND
//	faults BACKEND [frozen|lags=2s|lies|hangs|fails] [stop-announcing] [claim-ready]
//	cut|join DOMAIN DOMAIN
//	link DOMAIN DOMAIN [delay=3ms] [jitter=1ms] [loss=0.01] [duplicate=0.01] [reorder=0.01]
//	between [delay=3ms] ...
//	spray-remove|spray-add ENTRYHOST
func ParseTimedAction(text string) (TimedAction, error) {
	words := strings.Fields(text)
	if len(words) < 2 {
		return TimedAction{}, fmt.Errorf("action %q: want a time and a verb", text)
	}
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return TimedAction{}, fmt.Errorf("action %q: %w", text, err)
	}
	action, err := parseAction(words[1], words[2:])
	if err != nil {
		return TimedAction{}, fmt.Errorf("action %q: %w", text, err)
	}
	return TimedAction{At: at, Action: action}, nil
}

// names holds the number of names that must follow each verb.
var names = map[string]int{
	"drain": 1, "leave": 1, "restart": 1, "crash": 1, "start": 1, "silence": 1, "faults": 1,
	"cut": 2, "join": 2, "link": 2, "between": 0, "spray-remove": 1, "spray-add": 1,
}

func parseAction(verb string, rest []string) (Action, error) {
	count, known := names[verb]
	if !known {
		return nil, fmt.Errorf("unknown verb %q", verb)
	}
	if len(rest) < count {
		return nil, fmt.Errorf("%s needs %d names", verb, count)
	}
	options := rest[count:]
	switch verb {
	case "faults":
		faults, err := parseFaults(options)
		return FaultAction{Name: rest[0], Faults: faults}, err
	case "link":
		l, err := ParseLink(options)
		return FabricAction{SetLink{A: rest[0], B: rest[1], Link: l}}, err
	case "between":
		l, err := ParseLink(options)
		return FabricAction{SetBetween{l}}, err
	}
	if len(options) > 0 {
		return nil, fmt.Errorf("unexpected %q", options[0])
	}
	switch verb {
	case "cut", "join":
		return FabricAction{CutLink{A: rest[0], B: rest[1], Cut: verb == "cut"}}, nil
	case "spray-remove", "spray-add":
		return FabricAction{RemoveEntryHost{Name: rest[0], Removed: verb == "spray-remove"}}, nil
	}
	return BackendAction{Verb: verb, Name: rest[0]}, nil
}

// ParseLink parses options such as "delay=3ms" and "loss=0.01".
func ParseLink(options []string) (Link, error) {
	var l Link
	for _, option := range options {
		key, value, _ := strings.Cut(option, "=")
		var err error
		switch key {
		case "delay":
			l.Delay, err = time.ParseDuration(value)
		case "jitter":
			l.Jitter, err = time.ParseDuration(value)
		case "loss":
			l.Loss, err = parseShare(value)
		case "duplicate":
			l.Duplicate, err = parseShare(value)
		case "reorder":
			l.Reorder, err = parseShare(value)
		default:
			err = errors.New("unknown option")
		}
		if err != nil {
			return Link{}, fmt.Errorf("%q: %w", option, err)
		}
	}
	return l, nil
}

func parseShare(text string) (float64, error) {
	share, err := strconv.ParseFloat(text, 64)
	if err == nil && !(share >= 0 && share <= 1) {
		err = errors.New("not between 0 and 1")
	}
	return share, err
}

func parseFaults(options []string) (BackendFaults, error) {
	var faults BackendFaults
	for _, option := range options {
		key, value, _ := strings.Cut(option, "=")
		switch key {
		case "frozen":
			faults.Probe = ProbeFrozen
		case "lags":
			lag, err := time.ParseDuration(value)
			if err != nil {
				return faults, fmt.Errorf("%q: %w", option, err)
			}
			faults.Probe, faults.ProbeLag = ProbeOutdated, lag
		case "lies":
			faults.Probe = ProbeFalselyReady
		case "hangs":
			faults.Probe = ProbeHangs
		case "fails":
			faults.Probe = ProbeFails
		case "stop-announcing":
			faults.StopAnnouncing = true
		case "claim-ready":
			faults.ClaimReady = true
		default:
			return faults, fmt.Errorf("unknown fault %q", option)
		}
	}
	return faults, nil
}
