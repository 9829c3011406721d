package document

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

var unitDurations = map[string]time.Duration{
	"millisecond": time.Millisecond, "milliseconds": time.Millisecond,
	"second": time.Second, "seconds": time.Second,
	"minute": time.Minute, "minutes": time.Minute,
}

var numberWords = map[string]int{
	"one": 1, "two": 2, "three": 3, "four": 4, "five": 5, "six": 6,
	"seven": 7, "eight": 8, "nine": 9, "ten": 10, "eleven": 11, "twelve": 12,
}

// textProblem describes what is wrong with a word or value of the text. A Finding adds
// the position.
type textProblem struct {
	description string
	suggestion  string
}

// ValidName reports whether text is a valid name of a service or team.
func ValidName(text string) bool {
	_, problem := parseName(text)
	return problem == nil
}

func parseName(text string) (string, *textProblem) {
	if text != "" && len(text) <= MaxNameBytes && text[0] >= 'a' && text[0] <= 'z' {
		if !hasInvalidNameChar(text) {
			return text, nil
		}
	}
	return "", &textProblem{
		fmt.Sprintf("is not a name: a name has at most %d small letters, digits and hyphens and begins with a letter", MaxNameBytes),
		suggestName(text),
	}
}

// hasInvalidNameChar reports whether text contains a character that names cannot contain.
func hasInvalidNameChar(text string) bool {
	return strings.ContainsFunc(text, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-'
	})
}

// suggestName returns a suggestion with the valid name closest to text, or a
// general one if too little of text or too much remains.
func suggestName(text string) string {
	name := strings.Map(func(r rune) rune {
		switch {
		case r == ' ' || r == '_' || r == '.':
			return '-'
		case hasInvalidNameChar(string(r)):
			return -1
		}
		return r
	}, strings.ToLower(text))
	name = strings.TrimLeft(name, "-0123456789")
	if name == "" || len(name) > MaxNameBytes {
		return "choose another name"
	}
	return fmt.Sprintf("did you mean %q?", name)
}

// parseHeadingText accepts any printable text without quotation marks, because only
// people read a heading.
func parseHeadingText(text string) (string, *textProblem) {
	hidden := strings.ContainsAny(text, "\n\r\t") || indexHidden(text) >= 0 || strings.ContainsFunc(text, isQuote)
	if text == "" || len(text) > MaxHeadingBytes || strings.TrimSpace(text) != text || hidden {
		return "", &textProblem{
			fmt.Sprintf("is not a heading: a heading has 1 to %d letters and no space at its ends", MaxHeadingBytes),
			"choose another heading",
		}
	}
	return text, nil
}

func parseAddress(text string) (netip.Addr, *textProblem) {
	addr, err := netip.ParseAddr(text)
	if err != nil {
		if problem := addressWithPort(text); problem != nil {
			return netip.Addr{}, problem
		}
		return netip.Addr{}, &textProblem{"is not an address", "write four numbers from 0 to 255, such as 10.20.0.1"}
	}
	if !addr.Is4() {
		return netip.Addr{}, &textProblem{"is not an IPv4 address, and services have IPv4 addresses only", "write an address such as 10.20.0.1"}
	}
	if addr.IsUnspecified() || addr.IsMulticast() || addr == netip.AddrFrom4([4]byte{255, 255, 255, 255}) {
		return netip.Addr{}, &textProblem{"is not the address of one host", "write an address such as 10.20.0.1"}
	}
	return addr, nil
}

// addressWithPort describes the mistake in a text such as 10.20.0.1:443. It
// returns nil for any other text.
func addressWithPort(text string) *textProblem {
	addrPort, err := netip.ParseAddrPort(text)
	if err != nil || !addrPort.Addr().Is4() {
		return nil
	}
	return &textProblem{
		"is an address and a port in one",
		fmt.Sprintf("did you mean \"%s, port %d\"?", addrPort.Addr(), addrPort.Port()),
	}
}

func parseNumber(text string, low, high int) (int, *textProblem) {
	if n, ok := numberWords[strings.ToLower(text)]; ok && n >= low && n <= high {
		return n, nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || int(n) < low || int(n) > high {
		return 0, &textProblem{fmt.Sprintf("is not a whole number from %d to %d", low, high), ""}
	}
	return int(n), nil
}

func parseWait(number, unit string) (time.Duration, *textProblem) {
	unitDuration := unitDurations[strings.ToLower(unit)]
	n, problem := parseNumber(number, 1, int(MaxWaitLimit/time.Millisecond))
	if problem != nil {
		return 0, problem
	}
	if wait := time.Duration(n) * unitDuration; wait <= MaxWaitLimit {
		return wait, nil
	}
	return 0, &textProblem{fmt.Sprintf("is a longer wait than %d minutes", MaxWaitLimit/time.Minute), ""}
}

func parseSource(text string) (netip.Prefix, *textProblem) {
	if addr, err := netip.ParseAddr(text); err == nil && addr.Is4() {
		return netip.PrefixFrom(addr, 32), nil
	}
	prefix, err := netip.ParsePrefix(text)
	if err != nil || !prefix.Addr().Is4() {
		return netip.Prefix{}, &textProblem{"is not a range of addresses", "write a range such as 10.30.0.0/16 or one address"}
	}
	if masked := prefix.Masked(); masked != prefix {
		return netip.Prefix{}, &textProblem{
			fmt.Sprintf("does not begin where a range of this size begins (/%d)", prefix.Bits()),
			fmt.Sprintf("did you mean %q?", masked.String()),
		}
	}
	return prefix, nil
}

func parseFingerprint(text string) ([]byte, *textProblem) {
	hash, err := hex.DecodeString(text)
	if err != nil || len(hash) != 32 {
		return nil, &textProblem{"is not a fingerprint of 64 digits and letters a to f", "copy it from the output of cassiawood keys"}
	}
	return hash, nil
}
