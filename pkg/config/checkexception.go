package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// checkExceptions checks each exception, and that no two of the same rank
// apply to one request.
func (d *decoder) checkExceptions(document *Document, names *nameIndex) {
	for i := range document.Exceptions {
		exception := &document.Exceptions[i]
		path := fmt.Sprintf("exceptions[%d]", i)
		if d.Malformed(path) {
			continue
		}
		if strings.TrimSpace(exception.Reason) == "" && !d.Malformed(path+".reason") {
			d.Problem(path+".reason", "the reason is missing", "say why the default does not fit here")
		}
		d.checkSelector(&exception.Selector, path+".selector", names)
		d.checkSetting(document, exception, path)
		for j := range i {
			if document.Exceptions[j].clashes(exception) {
				d.Problem(path, fmt.Sprintf("it and exceptions[%d] set %s for the same requests with the same rank", j, exception.Setting), "make one selector name more fields, which then wins")
			}
		}
	}
}

// checkSelector checks that a selector names something that exists.
func (d *decoder) checkSelector(selector *Selector, path string, names *nameIndex) {
	if *selector == (Selector{}) {
		if !d.Malformed(path) {
			d.Problem(path, "the selector is empty", "name a workspace, route, model, service or failure domain, or change the default")
		}
		return
	}
	d.checkReference(path+".workspace", "workspace", string(selector.Workspace), names.workspaces)
	d.checkReference(path+".route", "route", string(selector.Route), names.routes)
	d.checkReference(path+".model", "model", string(selector.Model), names.models)
	d.checkReference(path+".service", "service", string(selector.Service), names.services)
}

// checkReference checks that a name, where it is given, is defined. A policy
// defines no names itself.
func (d *decoder) checkReference(path, what, name string, defined map[string]bool) {
	if name != "" && defined != nil && !defined[name] {
		d.Problem(path, fmt.Sprintf("there is no %s %q", what, name), "mend the name or remove the exception")
	}
}

// checkSetting checks that the setting exists, takes exceptions and the value,
// and differs from the default.
func (d *decoder) checkSetting(document *Document, exception *Exception, path string) {
	knob := knobTable().byPath[exception.Setting]
	if knob == nil {
		if !d.Malformed(path + ".setting") {
			d.Problem(path+".setting", fmt.Sprintf("there is no setting %q", exception.Setting), `name a knob by its path, such as "retry.maxAttempts"`)
		}
		return
	}
	if knob.FleetWide {
		d.Problem(path+".setting", knob.Path+" holds for the whole fleet", "change the default")
		return
	}
	value, err := knob.read(hujson.Literal(exception.Value))
	if err != nil || len(exception.Value) == 0 {
		d.Problem(path+".value", fmt.Sprintf("the value does not fit %s: %v", knob.Path, err), knob.remedy())
		return
	}
	if value.Equal(knob.in(&document.Defaults)) && !d.Malformed(defaultsPrefix+knob.Path) {
		d.Problem(path+".value", "the value is the default", "remove the exception")
	}
}

// checkExpired refuses exceptions whose time is over.
func (d *decoder) checkExpired(document *Document, now time.Time) {
	for i := range document.Exceptions {
		if exception := &document.Exceptions[i]; exception.expired(now) {
			d.Problem(fmt.Sprintf("exceptions[%d].expires", i), "the exception has expired", "remove it, or give it a later time")
		}
	}
}

// expired reports whether the exception's time is over.
func (e *Exception) expired(now time.Time) bool {
	return !e.Expires.IsZero() && !now.Before(e.Expires)
}

// clashes reports whether both set one setting for a same request without one
// of them being more specific.
func (e *Exception) clashes(other *Exception) bool {
	return e.Setting == other.Setting &&
		e.Selector.specificity() == other.Selector.specificity() &&
		e.Selector.overlaps(&other.Selector)
}
