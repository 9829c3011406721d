package operator_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/operator"
)

var _ = Describe("the tokens file", func() {
	var file string
	secretByTeam := map[string]string{}

	write := func(teams ...string) {
		GinkgoHelper()
		settings := []operator.TokenSetting{}
		for _, team := range teams {
			if secretByTeam[team] == "" {
				secretByTeam[team], _ = operator.NewSecret()
			}
			hash := sha256.Sum256([]byte(secretByTeam[team]))
			settings = append(settings, operator.TokenSetting{Team: team, SHA256: hex.EncodeToString(hash[:])})
		}
		text, err := json.Marshal(settings)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(file, text, 0o600)).To(Succeed())
	}
	accepts := func(f *operator.TokensFile, team string) bool {
		_, err := f.Authenticator().Authenticate(secretByTeam[team])
		return err == nil
	}

	BeforeEach(func() { file = filepath.Join(GinkgoT().TempDir(), "tokens.json") })

	// Guards against a withdrawn token that is accepted until the process restarts, or again after
	// a restart.
	It("refuses a token that was taken out, also after a restart", func() {
		write("shop", "store")
		f, err := operator.OpenTokensFile(file, discardLog)
		Expect(err).NotTo(HaveOccurred())
		Expect([]bool{accepts(f, "shop"), accepts(f, "store")}).To(Equal([]bool{true, true}))
		write("store")
		Expect(f.Reload()).To(BeTrue())
		Expect([]bool{accepts(f, "shop"), accepts(f, "store")}).To(Equal([]bool{false, true}))
		Expect(f.Reload()).To(BeFalse())
		again, err := operator.OpenTokensFile(file, discardLog)
		Expect(err).NotTo(HaveOccurred())
		Expect([]bool{accepts(again, "shop"), accepts(again, "store")}).To(Equal([]bool{false, true}))
		write()
		Expect(f.Reload()).To(BeTrue())
		Expect(accepts(f, "store")).To(BeFalse())
	})

	// Guards against a file that is being written and locks all operators out, or brings back
	// tokens that were withdrawn before.
	It("keeps the current tokens while the file is missing or invalid", func() {
		write("shop", "store")
		f, err := operator.OpenTokensFile(file, discardLog)
		Expect(err).NotTo(HaveOccurred())
		write("store")
		Expect(f.Reload()).To(BeTrue())
		for _, text := range []string{"", "[{", `[{"team":"shop","sha256":"00"}]`} {
			Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
			_, err := f.Reload()
			Expect(err).To(HaveOccurred(), text)
			_, err = operator.OpenTokensFile(file, discardLog)
			Expect(err).To(HaveOccurred(), text)
		}
		Expect(os.Remove(file)).To(Succeed())
		_, err = f.Reload()
		Expect(err).To(MatchError(os.ErrNotExist))
		Expect([]bool{accepts(f, "shop"), accepts(f, "store")}).To(Equal([]bool{false, true}))
	})
})
