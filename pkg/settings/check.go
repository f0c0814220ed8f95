package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"amaranthplank.example/amaranthplank/pkg/jsonc"
)

// checker validates one settings file and reports problems to its decoder.
type checker struct {
	decoder *jsonc.Decoder
}

// check validates decoded settings and adds problems to the decoder.
func check(decoder *jsonc.Decoder, s *Settings) {
	c := &checker{decoder: decoder}
	c.checkName("host", string(s.Host))
	c.checkName("failureDomain", string(s.FailureDomain))
	c.checkName("region", string(s.Region))
	c.checkAddress("listen.callers", s.Listen.Callers)
	c.checkAddress("listen.operators", s.Listen.Operators)
	c.checkAddress("listen.peers", s.Listen.Peers)
	c.checkBaseURL("platform.address", s.Platform.Address)
	c.checkPeers(&s.Peers)
	c.checkOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.checkOneOf("log.format", s.Log.Format, "text", "json")
	if s.Shutdown.BalancerDelay < 0 {
		c.addProblem("shutdown.balancerDelay", "is negative", "write a duration such as \"5s\"")
	}
}

// addProblem adds a problem with a field, unless there is one already because the
// field could not be decoded.
func (c *checker) addProblem(path, problem, remedy string) {
	if !c.decoder.Malformed(path) {
		c.decoder.AddProblem(path, problem, remedy)
	}
}

// checkName checks a required name.
func (c *checker) checkName(path, value string) {
	switch {
	case value == "":
		c.addProblem(path, "is missing", "give the name that the platform uses")
	case strings.ContainsAny(value, "/ \t\n"):
		c.addProblem(path, "contains a slash or whitespace", "use letters, digits, dots and dashes")
	}
}

// checkAddress checks an address, which must be an IP and a port.
func (c *checker) checkAddress(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addProblem(path, "is not an IP address with a port", "write an address such as \"10.0.0.5:8080\"")
	}
}

// checkBaseURL checks an HTTP or HTTPS base URL.
func (c *checker) checkBaseURL(path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.addProblem(path, "is not an HTTP or HTTPS base URL", "write a URL such as \"http://10.0.0.1:9000\"")
	}
}

// checkPeers checks the settings for links to other daemons.
func (c *checker) checkPeers(p *Peers) {
	if p.SecretFile == "" {
		c.addProblem("peers.secretFile", "is missing", "name the file with the fleet's shared secret")
	}
	files := []string{p.CertificateFile, p.KeyFile, p.AuthorityFile}
	given := slices.DeleteFunc(files, func(file string) bool { return file == "" })
	if len(given) != 0 && len(given) != 3 {
		c.addProblem("peers", "names only some of the TLS files", "name certificateFile, keyFile and authorityFile, or none")
	}
	for i, seed := range p.Seeds {
		path := "peers.seeds[" + strconv.Itoa(i) + "]"
		c.checkName(path+".host", string(seed.Host))
		c.checkName(path+".failureDomain", string(seed.FailureDomain))
		c.checkName(path+".region", string(seed.Region))
		c.checkAddress(path+".address", seed.Address)
	}
	if p.Degree < 0 {
		c.addProblem("peers.degree", "is negative", "write a count of links, or leave it out")
	}
}

// checkOneOf checks that a value is one of the given words.
func (c *checker) checkOneOf(path, value string, words ...string) {
	if !slices.Contains(words, value) {
		c.addProblem(path, "is not known", "write one of "+strings.Join(words, ", "))
	}
}
