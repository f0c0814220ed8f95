package settings

import (
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Host is the name of the daemon's host; FailureDomain and Region are its
	// location.
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

// Listen holds the addresses to listen on, each an IP and a port.
type Listen struct {
	// Callers accepts callers' requests, which arrive through the load balancer.
	Callers string `json:"callers"`
	// Operators serves the operator API, metrics, health and profiles.
	Operators string `json:"operators"`
	// Peers accepts links from other daemons.
	Peers string `json:"peers"`
}

// Platform holds the address of the platform's systems.
type Platform struct {
	// Address is the base URL of the platform's API.
	Address string `json:"address"`
}

// Peers holds the settings for links to other daemons.
type Peers struct {
	// SecretFile is the path of the file with the fleet's shared secret.
	SecretFile string `json:"secretFile"`
	// CertificateFile, KeyFile and AuthorityFile are the paths of PEM files.
	// They enable TLS if set, and are reloaded when they change.
	CertificateFile string `json:"certificateFile,omitempty"`
	KeyFile         string `json:"keyFile,omitempty"`
	AuthorityFile   string `json:"authorityFile,omitempty"`
	// Seeds are the hosts to link to before the platform's list of hosts is
	// available.
	Seeds []Seed `json:"seeds,omitempty"`
	// Degree limits the number of links of the daemon; zero means the built-in
	// limit.
	Degree int `json:"degree,omitempty"`
}

// Seed is a host to link to at startup.
type Seed struct {
	Host          ident.Host          `json:"host"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Region        ident.Region        `json:"region"`
	// Address is where its daemon accepts links, as an IP and a port.
	Address string `json:"address"`
}

// Targets holds the settings for requests to targets.
type Targets struct {
	// CredentialFile is the path of the file with the credential that the
	// daemons present to targets.
	CredentialFile string `json:"credentialFile,omitempty"`
}

// Shutdown holds the settings for a graceful shutdown.
type Shutdown struct {
	// BalancerDelay is how long the load balancer may still send requests after
	// the readiness check starts to fail.
	BalancerDelay config.Duration `json:"balancerDelay"`
}

// Log holds the settings for the log on standard error.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Format is text or json.
	Format string `json:"format"`
}
