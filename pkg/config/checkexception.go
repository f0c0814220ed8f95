package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// checkExceptions checks each exception, and that no two of equal specificity set
// the same knob for the same request.
func (d *decoder) checkExceptions(document *Document, names *nameIndex) {
	for i := range document.Exceptions {
		exception := &document.Exceptions[i]
		path := fmt.Sprintf("exceptions[%d]", i)
		if d.Malformed(path) {
			continue
		}
		if strings.TrimSpace(exception.Reason) == "" && !d.Malformed(path+".reason") {
			d.AddProblem(path+".reason", "the reason is missing", "say why the default does not fit here")
		}
		d.checkSelector(&exception.Selector, path+".selector", names)
		d.checkSetting(document, exception, path)
		for j := range i {
			if document.Exceptions[j].conflictsWith(exception) {
				d.AddProblem(path, fmt.Sprintf("conflicts with exceptions[%d]: both set %s for the same requests with equal specificity", j, exception.Setting), "add a field to one selector so that it takes precedence")
			}
		}
	}
}

// checkSelector checks that a selector is not empty and refers only to defined
// names.
func (d *decoder) checkSelector(selector *Selector, path string, names *nameIndex) {
	if *selector == (Selector{}) {
		if !d.Malformed(path) {
			d.AddProblem(path, "the selector is empty", "name a workspace, route, model, service or failure domain, or change the default")
		}
		return
	}
	d.checkReference(path+".workspace", "workspace", string(selector.Workspace), names.workspaces)
	d.checkReference(path+".route", "route", string(selector.Route), names.routes)
	d.checkReference(path+".model", "model", string(selector.Model), names.models)
	d.checkReference(path+".service", "service", string(selector.Service), names.services)
}

// checkReference checks that a name, if given, is defined. The check is skipped
// for a policy, which defines no names (defined is nil).
func (d *decoder) checkReference(path, what, name string, defined map[string]bool) {
	if name != "" && defined != nil && !defined[name] {
		d.AddProblem(path, fmt.Sprintf("unknown %s %q", what, name), "correct the name or remove the exception")
	}
}

// checkSetting checks that the knob exists and may be overridden, and that the
// value is valid for it and differs from the default.
func (d *decoder) checkSetting(document *Document, exception *Exception, path string) {
	knob := knobTable().byPath[exception.Setting]
	if knob == nil {
		if !d.Malformed(path + ".setting") {
			d.AddProblem(path+".setting", fmt.Sprintf("unknown setting %q", exception.Setting), `name a setting by its path, such as "retry.maxAttempts"`)
		}
		return
	}
	if knob.FleetWide {
		d.AddProblem(path+".setting", knob.Path+" is fleet-wide and can't be overridden", "change the default")
		return
	}
	value, err := knob.parse(hujson.Literal(exception.Value))
	if err != nil || len(exception.Value) == 0 {
		d.AddProblem(path+".value", fmt.Sprintf("invalid value for %s: %v", knob.Path, err), knob.remedy())
		return
	}
	if value.Equal(knob.fieldIn(&document.Defaults)) && !d.Malformed(defaultsPrefix+knob.Path) {
		d.AddProblem(path+".value", "the value equals the default", "remove the exception")
	}
}

// checkExpired rejects exceptions that have expired.
func (d *decoder) checkExpired(document *Document, now time.Time) {
	for i := range document.Exceptions {
		if exception := &document.Exceptions[i]; exception.expired(now) {
			d.AddProblem(fmt.Sprintf("exceptions[%d].expires", i), "the exception has expired", "remove it, or give it a later time")
		}
	}
}

// expired reports whether the exception has expired at the given time.
func (e *Exception) expired(now time.Time) bool {
	return !e.Expires.IsZero() && !now.Before(e.Expires)
}

// conflictsWith reports whether both exceptions set the same knob with equal
// specificity and some request matches both.
func (e *Exception) conflictsWith(other *Exception) bool {
	return e.Setting == other.Setting &&
		e.Selector.specificity() == other.Selector.specificity() &&
		e.Selector.overlaps(&other.Selector)
}
