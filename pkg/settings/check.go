package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"amaranthplank.example/amaranthplank/pkg/jsonc"
)

// checker collects the issues of one file.
type checker struct {
	text   *jsonc.Text
	issues []*jsonc.FieldError
}

// check returns what is wrong with settings that were decoded from text.
func check(text *jsonc.Text, s *Settings) []*jsonc.FieldError {
	c := &checker{text: text}
	c.name("/host", string(s.Host))
	c.name("/failureDomain", string(s.FailureDomain))
	c.name("/region", string(s.Region))
	c.address("/listen/callers", s.Listen.Callers)
	c.address("/listen/operators", s.Listen.Operators)
	c.address("/listen/peers", s.Listen.Peers)
	c.base("/platform/address", s.Platform.Address)
	c.trust(&s.Peers)
	c.oneOf("/log/level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("/log/format", s.Log.Format, "text", "json")
	if s.Shutdown.BalancerDelay < 0 {
		c.add("/shutdown/balancerDelay", "is negative", "write a duration such as \"5s\"")
	}
	return c.issues
}

// add notes an issue with the field at a pointer.
func (c *checker) add(pointer, problem, remedy string) {
	field := strings.ReplaceAll(strings.TrimPrefix(pointer, "/"), "/", ".")
	c.issues = append(c.issues, &jsonc.FieldError{Line: c.text.Line(pointer), Field: field, Problem: problem, Remedy: remedy})
}

// name checks a name that must be given.
func (c *checker) name(pointer, value string) {
	switch {
	case value == "":
		c.add(pointer, "is missing", "give the name that the platform uses")
	case strings.ContainsAny(value, "/ \t\n"):
		c.add(pointer, "holds a slash or a space", "use letters, digits, dots and dashes")
	}
}

// address checks an IP and port to listen on.
func (c *checker) address(pointer, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(pointer, "is not an IP with a port", "write one such as \"10.0.0.5:8080\"")
	}
}

// base checks a base URL.
func (c *checker) base(pointer, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.add(pointer, "is not a base URL", "write one such as \"http://10.0.0.1:9000\"")
	}
}

// trust checks how daemons trust each other.
func (c *checker) trust(p *Peers) {
	if p.SecretFile == "" {
		c.add("/peers/secretFile", "is missing", "name the file with the fleet's shared secret")
	}
	files := []string{p.CertificateFile, p.KeyFile, p.AuthorityFile}
	given := slices.DeleteFunc(files, func(file string) bool { return file == "" })
	if len(given) != 0 && len(given) != 3 {
		c.add("/peers", "names some of the TLS files", "name certificateFile, keyFile and authorityFile, or none")
	}
	for i, seed := range p.Seeds {
		pointer := "/peers/seeds/" + strconv.Itoa(i)
		c.name(pointer+"/host", string(seed.Host))
		c.name(pointer+"/failureDomain", string(seed.FailureDomain))
		c.name(pointer+"/region", string(seed.Region))
		c.address(pointer+"/address", seed.Address)
	}
	if p.Degree < 0 {
		c.add("/peers/degree", "is negative", "write a count of links, or leave it out")
	}
}

// oneOf checks a word.
func (c *checker) oneOf(pointer, value string, words ...string) {
	if !slices.Contains(words, value) {
		c.add(pointer, "is not known", "write one of "+strings.Join(words, ", "))
	}
}
