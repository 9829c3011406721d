package cluster

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a desired state that was acknowledged and can never be read or changed again: a control host is removed without notice
// after its successor has caught up, and another one loses its disk in the same moment or up to 3 s later. Two of three votes were gone.
func TestRemovedHostAndLostDisk(t *testing.T) {
	for _, hosts := range []int{3, 4} {
		for distance := time.Duration(0); distance <= 3*time.Second; distance += 250 * time.Millisecond {
			for removed := range 3 {
				t.Run(fmt.Sprintf("%d hosts, number %d removed, %v apart", hosts, removed+1, distance), func(t *testing.T) {
					s := newSimulation(uint64(removed+1), hosts)
					if err := removeAndLose(s, removed, distance); err != nil {
						t.Fatalf("%v\n%v", err, s.trace)
					}
				})
			}
		}
	}
}

// removeAndLose removes a host whose successor has caught up, takes the disk of the next one, and checks that the state is kept and can be changed.
func removeAndLose(s *simulation, removed int, distance time.Duration) error {
	if err := s.run(3 * time.Second); err != nil {
		return err
	}
	first, second := s.hosts[removed], s.hosts[(removed+1)%3]
	if err := s.put(); err != nil {
		return err
	}
	if err := s.replace(first, false); err != nil {
		return err
	}
	if err := s.run(distance); err != nil {
		return err
	}
	restart := s.fault("lost disk", second)
	if err := s.run(200 * time.Millisecond); err != nil {
		return err
	}
	if err := restart(); err != nil {
		return err
	}
	if err := s.run(simSettle); err != nil {
		return err
	}
	before := s.acked
	if err := s.put(); err != nil {
		return err
	}
	if err := s.run(time.Second); err != nil {
		return err
	}
	if before == 0 || s.acked == before {
		return fmt.Errorf("version %d is the last one that was acknowledged, it was %d before", s.acked, before)
	}
	return s.check()
}
