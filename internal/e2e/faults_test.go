package e2e

import (
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/lab"
	"cassiawood/internal/operator"
)

// stoppedTime is longer than a host lease (2 s), so that the others have
// replaced the stopped host as holder when it goes on.
const stoppedTime = 5 * time.Second

var _ = DescribeTable("faults of processes under load",
	func(seed uint64, fault func(l *load)) {
		l := startLoad(seed)
		fault(l)
		l.finish()
	},
	// Guards against records that are not handed over before a planned stop, and
	// a stop that is not graceful.
	Entry("planned stop and restart of each entry host in turn", uint64(1), func(l *load) {
		for _, e := range l.entries {
			e.signal(syscall.SIGTERM)
			Expect(e.awaitExit()).To(BeZero(), e.name)
			l.noticed(e)
			l.restart(e)
		}
	}),
	// Guards against records that exist on one host only, and flows that another
	// host guesses after a holder has died.
	Entry("kill of an entry host", uint64(2), func(l *load) {
		e := l.entries[2]
		e.kill()
		l.noticed(e)
		l.awaitAnswers(5 * connections)
		l.restart(e)
	}),
	// Guards against a host that goes on with an old table and old records after
	// the others have replaced it.
	Entry("an entry host that stands still and goes on", uint64(3), func(l *load) {
		e := l.entries[3]
		e.signal(syscall.SIGSTOP)
		l.noticed(e)
		time.Sleep(stoppedTime - noticeTime)
		e.signal(syscall.SIGCONT)
		l.spray(e, true)
		l.awaitAnswers(5 * connections)
		l.awaitActive(e.name)
	}),
	// Guards against a change that a new leader forgets or carries out twice, and
	// traffic that needs a leader.
	Entry("kill of the control leader while a section is saved", uint64(4), killLeader),
	// Guards against a control host that votes without its log, and a log that is
	// lost with the second host.
	Entry("loss of a control host's data folder and then of another control host", uint64(5), loseData),
	// Guards against a drain that an entry host with a new table does not know, and
	// new work for a backend server that is leaving.
	Entry("removal of a backend server while an entry host restarts", uint64(6), func(l *load) {
		e := l.entries[0]
		e.signal(syscall.SIGTERM)
		l.backend("drain", "order-desk-2")
		l.backend("leave", "sheet-print-3")
		Expect(e.awaitExit()).To(BeZero(), e.name)
		l.noticed(e)
		l.restart(e)
		l.backend("leave", "order-desk-2")
		l.awaitAnswers(20 * connections) // new flows of sheet-print for longer than 3 s
	}),
	// Guards against records on the other side of a cut, and flows that are placed
	// on both sides.
	Entry("cut between a failure domain and the others", uint64(7), func(l *load) {
		l.cut("c", true)
		time.Sleep(stoppedTime)
		l.cut("c", false)
		l.awaitAnswers(5 * connections)
	}),
)

// cut cuts a failure domain off from the others in the fabric, or joins it again.
func (l *load) cut(domain string, cut bool) {
	GinkgoHelper()
	for _, other := range domains {
		if other != domain {
			Expect(l.Do(lab.FabricAction{Fault: lab.CutLink{A: domain, B: other, Cut: cut}})).To(Succeed())
		}
	}
}

// killLeader kills the leader while a change is on its way. Whatever the client
// is told, the same change sent again must get one answer for good.
func killLeader(l *load) {
	const team, section = "shop", "Orders"
	change := l.change("during-kill", team, section, 1, "\n")
	leader := l.controls[l.leader()]
	saved := make(chan error, 1)
	go func() {
		_, err := l.save(team, change)
		saved <- err
	}()
	leader.kill()
	l.awaitAnswers(5 * connections)
	Eventually(saved, never, poll).Should(Receive())
	first, err := l.save(team, change)
	Expect(err).NotTo(HaveOccurred())
	leader.start()
	l.awaitAnswers(5 * connections)
	again, err := l.save(team, change)
	Expect(err).NotTo(HaveOccurred())
	Expect(again).To(Equal(first))
	Expect(l.version(team, section)).To(Equal(first.Version))
	Expect(first.Version).To(BeEquivalentTo(2))
}

func (l *load) version(team, section string) uint64 {
	GinkgoHelper()
	s, err := l.client(team).Section(GinkgoT().Context(), section, 0)
	Expect(err).NotTo(HaveOccurred())
	return s.Version
}

// loseData deletes the data folder of a control host, lets the host rejoin, and
// stops another control host for good.
func loseData(l *load) {
	const team, section = "shop", "Orders"
	accepted, err := l.save(team, l.change("before-loss", team, section, 1, "\n"))
	Expect(err).NotTo(HaveOccurred())
	lost, id := l.controls[0], 1
	lost.signal(syscall.SIGTERM)
	Expect(lost.awaitExit()).To(BeZero(), lost.name)
	Expect(os.RemoveAll(l.dataFolder(id))).To(Succeed())
	rejoining := l.controlSettings(id)
	rejoining.Rejoining = true
	l.writeSettings(lost, rejoining)
	lost.start()
	l.awaitVersion(lost, team, section, accepted.Version)
	l.controls[1].kill()
	Eventually(func() error {
		_, err := l.save(team, l.change("after-loss", team, section, accepted.Version, ""))
		return err
	}, never, poll).Should(Succeed())
	Expect(l.version(team, section)).To(Equal(accepted.Version + 1))
}

// awaitVersion waits until a control host itself shows a version of a section.
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
	}, never, poll).Should(Equal(version))
}
