package e2e

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/lab"
	"cassiawood/internal/operator"
)

// suspensionTime is longer than a host lease (2 s), so that the other hosts have
// replaced a suspended host as holder when it resumes.
const suspensionTime = 5 * time.Second

var _ = DescribeTable("faults of processes under load",
	func(seed uint64, fault func(l *load)) {
		l := startLoad(seed)
		fault(l)
		l.finishAndCheck()
	},
	// Guards against records that are not handed over before a graceful stop, and
	// against a stop that waits for a new holder without a link to the stopping
	// host.
	Entry("graceful stop and restart of each entry host in turn", uint64(1), func(l *load) {
		for _, e := range l.entries {
			l.restartGracefully(e, nil)
		}
	}),
	// Guards against records that exist on one host only, and against a host that
	// places a flow without its record after the holder was killed.
	Entry("kill of an entry host", uint64(2), func(l *load) {
		e := l.entries[2]
		e.kill()
		l.removeAfterDetection(e)
		l.awaitAnswers(5 * connectionsPerService)
		l.startAfterFailure(e)
	}),
	// Guards against a host that uses its outdated table and records after the other
	// hosts have replaced it.
	Entry("an entry host that is suspended and resumed", uint64(3), func(l *load) {
		e := l.entries[3]
		e.signal(syscall.SIGSTOP)
		l.removeAfterDetection(e)
		time.Sleep(suspensionTime - failureDetectionTime)
		e.signal(syscall.SIGCONT)
		l.setSpray(e, true)
		l.awaitActive(e.name)
	}),
	// Guards against a change that a new leader loses or applies twice, and against
	// traffic that depends on a leader.
	Entry("kill of the control leader while a section is saved", uint64(4), killLeader),
	// Guards against a control host that votes after the loss of its log, and against
	// entries that are lost together with a second host.
	Entry("loss of a control host's data folder and then of another control host", uint64(5), loseDataFolder),
	// Guards against a restarted entry host that does not know of a drain, and against
	// new connections to a backend server that is leaving.
	Entry("drain and removal of backend servers while an entry host restarts", uint64(6), func(l *load) {
		leaving := []string{"order-desk-2", "sheet-print-3"}
		l.restartGracefully(l.entries[0], func() { l.doBackendAction("drain", leaving...) })
		l.awaitAnswers(10 * connectionsPerService) // callers of sheet-print keep opening connections
		l.reconnectsExpected = true
		l.restartGracefully(l.entries[3], func() { l.doBackendAction("leave", leaving...) })
		for _, name := range leaving {
			l.awaitGone(name)
		}
	}),
	// Guards against flows whose records are on the other side of a network partition,
	// and against flows that are placed on both sides.
	Entry("network partition between a failure domain and the others", uint64(7), func(l *load) {
		l.setPartition("c", true)
		time.Sleep(suspensionTime)
		l.setPartition("c", false)
	}),
)

// setPartition partitions a failure domain from the others in the fabric, or
// reconnects it.
func (l *load) setPartition(domain string, partitioned bool) {
	GinkgoHelper()
	for _, other := range domains {
		if other != domain {
			Expect(l.Do(lab.FabricAction{Fault: lab.CutLink{A: domain, B: other, Cut: partitioned}})).To(Succeed())
		}
	}
}

// killLeader kills the leader at different times during a save, which takes about
// 200 ms. Whatever the client's first attempt returned, all later attempts with the
// same change ID must get the same answer.
func killLeader(l *load) {
	const team, section = "shop", "Orders"
	type outcome struct {
		answer operator.SaveResult
		err    error
	}
	for version, delay := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond} {
		change := l.change(fmt.Sprintf("during-kill-%s", delay), team, section, uint64(version+1), strings.Repeat("\n", version+1))
		leader := l.controls[l.leader()]
		saved := make(chan outcome, 1)
		go func() {
			answer, err := l.save(team, change)
			saved <- outcome{answer, err}
		}()
		time.Sleep(delay)
		answered := len(saved) > 0
		leader.kill()
		l.awaitAnswers(2 * connectionsPerService)
		first := <-saved
		fmt.Fprintf(GinkgoWriter, "killed after %s, answered before the kill: %t, version %d, error: %v\n",
			delay, answered, first.answer.Version, first.err)
		again, err := l.save(team, change)
		Expect(err).NotTo(HaveOccurred())
		if first.err == nil {
			Expect(again).To(Equal(first.answer))
		}
		leader.start()
		l.awaitVersion(leader, team, section, again.Version)
		last, err := l.save(team, change)
		Expect(err).NotTo(HaveOccurred())
		Expect(last).To(Equal(again))
		Expect(again.Version).To(BeEquivalentTo(version + 2))
		Expect(l.sectionVersion(team, section)).To(Equal(again.Version))
	}
}

func (l *load) sectionVersion(team, section string) uint64 {
	GinkgoHelper()
	s, err := l.client(team).Section(GinkgoT().Context(), section, 0)
	Expect(err).NotTo(HaveOccurred())
	return s.Version
}

// loseDataFolder deletes the data folder of a control host, lets the host rejoin, and
// kills another control host without restarting it.
func loseDataFolder(l *load) {
	const team, section = "shop", "Orders"
	before := l.change("before-loss", team, section, 1, "\n")
	accepted, err := l.save(team, before)
	Expect(err).NotTo(HaveOccurred())
	lost, id := l.controls[0], 1
	lost.signal(syscall.SIGTERM)
	Expect(lost.awaitExit()).To(BeZero(), lost.name)
	Expect(os.RemoveAll(l.dataFolder(id))).To(Succeed())
	rejoining := l.controlSettings(id)
	rejoining.Rejoining = true
	l.writeSettings(lost, rejoining)
	lost.start()
	Eventually(lost.currentLog, eventTimeout, pollInterval).Should(ContainSubstring("rejoined the log as a voter"))
	l.awaitVersion(lost, team, section, accepted.Version)
	l.controls[1].kill()
	Eventually(func() (operator.SaveResult, error) { return l.save(team, before) }, eventTimeout, pollInterval).Should(Equal(accepted))
	Expect(l.sectionVersion(team, section)).To(Equal(accepted.Version))
	_, err = l.save(team, l.change("after-loss", team, section, accepted.Version, ""))
	Expect(err).NotTo(HaveOccurred())
	Expect(l.sectionVersion(team, section)).To(Equal(accepted.Version + 1))
}

// awaitVersion waits until a control host, asked directly, returns a version of a
// section.
func (l *load) awaitVersion(host *process, team, section string, version uint64) {
	GinkgoHelper()
	options := l.teams[team]
	for i, c := range l.controls {
		if c == host {
			options.Hosts = options.Hosts[i : i+1]
		}
	}
	client := operator.NewClient(options)
	Eventually(func() uint64 {
		s, err := client.Section(GinkgoT().Context(), section, 0)
		if err != nil {
			return 0
		}
		return s.Version
	}, eventTimeout, pollInterval).Should(Equal(version))
}
