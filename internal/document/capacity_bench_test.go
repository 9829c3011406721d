package document

import (
	"fmt"
	"testing"
)

// BenchmarkCapacityChange measures the check of a changed section against all
// other sections, as the control leader and the command line run it, with 20, 200
// and 2,400 services.
func BenchmarkCapacityChange(b *testing.B) {
	for _, services := range []int{20, 200, 2400} {
		var sections []Section
		for i := range services {
			sections = append(sections, Section{
				Heading: fmt.Sprint("Service ", i), Team: "shop", Version: 1,
				Text: fmt.Sprintf("The service \"s%d\" is reached at 10.20.%d.%d, port 443.\n"+
					"Its backend servers announce themselves as \"s%d\".\n"+
					"Each backend server takes 2 requests at once.\n", i, i>>8, i&0xff, i),
			})
		}
		changed := sections[services/2]
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, findings := CheckChange(sections, changed); len(findings) > 0 {
					b.Fatal(findings)
				}
			}
		})
	}
}
