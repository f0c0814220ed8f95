package settings

import (
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Host names the daemon's host; FailureDomain and Region say where it is.
	Host          ident.Host          `json:"host"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Region        ident.Region        `json:"region"`
	Listen        Listen              `json:"listen"`
	Platform      Platform            `json:"platform"`
	Peers         Peers               `json:"peers"`
	Targets       Targets             `json:"targets"`
	Shutdown      Shutdown            `json:"shutdown"`
	Log           Log                 `json:"log"`
}

// Listen holds the addresses, each an IP and a port.
type Listen struct {
	// Callers is where the balancer sends requests.
	Callers string `json:"callers"`
	// Operators serves the operator API, metrics, health and profiles.
	Operators string `json:"operators"`
	// Peers takes links from other daemons.
	Peers string `json:"peers"`
}

// Platform says where the platform's systems are.
type Platform struct {
	// Address is the base URL of the platform's calls.
	Address string `json:"address"`
}

// Peers says how daemons trust each other.
type Peers struct {
	// SecretFile holds the fleet's shared secret.
	SecretFile string `json:"secretFile"`
	// CertificateFile, KeyFile and AuthorityFile turn TLS on where set. They
	// are read again when they change.
	CertificateFile string `json:"certificateFile,omitempty"`
	KeyFile         string `json:"keyFile,omitempty"`
	AuthorityFile   string `json:"authorityFile,omitempty"`
	// Seeds are hosts to link to before the platform's list is read.
	Seeds []Seed `json:"seeds,omitempty"`
	// Degree bounds the links of one daemon; zero means the built-in bound.
	Degree int `json:"degree,omitempty"`
}

// Seed is one host known from the settings.
type Seed struct {
	Host          ident.Host          `json:"host"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Region        ident.Region        `json:"region"`
	// Address is where its daemon takes links, as IP and port.
	Address string `json:"address"`
}

// Targets says how the daemon reaches targets.
type Targets struct {
	// CredentialFile holds the system's own credential towards targets.
	CredentialFile string `json:"credentialFile,omitempty"`
}

// Shutdown shapes a planned stop.
type Shutdown struct {
	// BalancerDelay is how long after readiness fails the balancer may still
	// send requests.
	BalancerDelay config.Duration `json:"balancerDelay"`
}

// Log shapes the logs on standard error.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Format is text or json.
	Format string `json:"format"`
}
