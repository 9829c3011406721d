package suggest_test

import (
	"testing"

	"cassiawood/internal/suggest"
)

// Guards against a hint that misleads, and against none for a usual typing error.
func TestClosest(t *testing.T) {
	known := []string{"order-desk", "sheet-print", "a"}
	for name, want := range map[string]string{
		"order-dsk": "order-desk", "Order-Desk": "order-desk", "sheet-prnit": "sheet-print", "archive": "", "": "", "b": "", "xy": "",
	} {
		if got := suggest.Closest(name, known); got != want {
			t.Errorf("%q: got %q, want %q", name, got, want)
		}
	}
}
