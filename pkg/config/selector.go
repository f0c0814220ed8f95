package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Selector defines which requests an exception applies to. Empty fields match
// everything; at least one must be set.
type Selector struct {
	Workspace     ident.Workspace     `json:"workspace,omitempty"`
	Route         ident.Route         `json:"route,omitempty"`
	Model         ident.Model         `json:"model,omitempty"`
	Service       ident.Service       `json:"service,omitempty"`
	FailureDomain ident.FailureDomain `json:"failureDomain,omitempty"`
}

// specificity returns the number of fields that are set. Of two matching
// exceptions, the one with the higher specificity takes precedence.
func (s *Selector) specificity() int {
	count := 0
	for _, field := range s.fields() {
		if field != "" {
			count++
		}
	}
	return count
}

// overlaps reports whether some request matches both selectors.
func (s *Selector) overlaps(other *Selector) bool {
	mine, theirs := s.fields(), other.fields()
	for i := range mine {
		if mine[i] != "" && theirs[i] != "" && mine[i] != theirs[i] {
			return false
		}
	}
	return true
}

// matches reports whether the selector of an exception applies to the given
// names.
func (s *Selector) matches(named *Selector) bool {
	mine, theirs := s.fields(), named.fields()
	for i := range mine {
		if mine[i] != "" && mine[i] != theirs[i] {
			return false
		}
	}
	return true
}

// selectorFields is the number of fields of a selector.
const selectorFields = 5

// fields returns the selector's fields in declaration order.
func (s *Selector) fields() [selectorFields]string {
	return [selectorFields]string{
		string(s.Workspace), string(s.Route), string(s.Model), string(s.Service), string(s.FailureDomain),
	}
}
