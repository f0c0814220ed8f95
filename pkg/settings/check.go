package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"amaranthplank.example/amaranthplank/pkg/jsonc"
)

// checker adds the problems of one file.
type checker struct {
	decoder *jsonc.Decoder
}

// check adds what is wrong with settings that were decoded.
func check(decoder *jsonc.Decoder, s *Settings) {
	c := &checker{decoder: decoder}
	c.name("host", string(s.Host))
	c.name("failureDomain", string(s.FailureDomain))
	c.name("region", string(s.Region))
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.operators", s.Listen.Operators)
	c.address("listen.peers", s.Listen.Peers)
	c.base("platform.address", s.Platform.Address)
	c.trust(&s.Peers)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
	if s.Shutdown.BalancerDelay < 0 {
		c.add("shutdown.balancerDelay", "is negative", "write a duration such as \"5s\"")
	}
}

// add notes a problem of a field, unless it could not be read, which was noted.
func (c *checker) add(path, problem, remedy string) {
	if !c.decoder.Malformed(path) {
		c.decoder.Problem(path, problem, remedy)
	}
}

// name checks a name that must be given.
func (c *checker) name(path, value string) {
	switch {
	case value == "":
		c.add(path, "is missing", "give the name that the platform uses")
	case strings.ContainsAny(value, "/ \t\n"):
		c.add(path, "holds a slash or a space", "use letters, digits, dots and dashes")
	}
}

// address checks an IP and port to listen on.
func (c *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, "is not an IP with a port", "write one such as \"10.0.0.5:8080\"")
	}
}

// base checks a base URL.
func (c *checker) base(path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.add(path, "is not a base URL", "write one such as \"http://10.0.0.1:9000\"")
	}
}

// trust checks how daemons trust each other.
func (c *checker) trust(p *Peers) {
	if p.SecretFile == "" {
		c.add("peers.secretFile", "is missing", "name the file with the fleet's shared secret")
	}
	files := []string{p.CertificateFile, p.KeyFile, p.AuthorityFile}
	given := slices.DeleteFunc(files, func(file string) bool { return file == "" })
	if len(given) != 0 && len(given) != 3 {
		c.add("peers", "names some of the TLS files", "name certificateFile, keyFile and authorityFile, or none")
	}
	for i, seed := range p.Seeds {
		path := "peers.seeds[" + strconv.Itoa(i) + "]"
		c.name(path+".host", string(seed.Host))
		c.name(path+".failureDomain", string(seed.FailureDomain))
		c.name(path+".region", string(seed.Region))
		c.address(path+".address", seed.Address)
	}
	if p.Degree < 0 {
		c.add("peers.degree", "is negative", "write a count of links, or leave it out")
	}
}

// oneOf checks a word.
func (c *checker) oneOf(path, value string, words ...string) {
	if !slices.Contains(words, value) {
		c.add(path, "is not known", "write one of "+strings.Join(words, ", "))
	}
}
