package config

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// knownMethods are the methods that routes may list.
var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// checkRoutes checks each route, and that none shadows a later one.
func (d *decoder) checkRoutes(document *Document, names *nameIndex) {
	for i := range document.Routes {
		route := &document.Routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		if d.Malformed(path) {
			continue
		}
		d.checkName(path, string(route.Name), names.routes)
		d.checkRoute(route, path, names)
		if route.Open {
			d.checkOpen(route, path)
		}
		for j := range i {
			if document.Routes[j].shadows(route) {
				d.AddProblem(path, fmt.Sprintf("shadowed by the earlier route %q, which matches all of its requests", document.Routes[j].Name), "put the route with the longer path first")
				break
			}
		}
	}
}

// checkRoute checks the fields of one route.
func (d *decoder) checkRoute(route *Route, path string, names *nameIndex) {
	if !strings.HasPrefix(route.Path, "/") && !d.Malformed(path+".path") {
		d.AddProblem(path+".path", "the path must start with a slash", `write a path such as "/v1/completions"`)
	}
	for i, method := range route.Methods {
		if !slices.Contains(knownMethods, method) {
			d.AddProblem(fmt.Sprintf("%s.methods[%d]", path, i), fmt.Sprintf("%q is not a supported method", method), "use one of "+strings.Join(knownMethods, ", "))
		}
	}
	d.checkRouteTarget(route, path, names)
	if !validClass(route.Class) && !d.Malformed(path+".class") {
		d.AddProblem(path+".class", fmt.Sprintf("unknown class %q", route.Class), "use lookup, interactive or deferrable")
	}
}

// checkRouteTarget checks the model or service that a route names.
func (d *decoder) checkRouteTarget(route *Route, path string, names *nameIndex) {
	if route.Model != "" && route.Service != "" {
		d.AddProblem(path+".service", "a route can't name both a model and a service", "remove one of them")
	}
	if route.Model != "" && !names.models[string(route.Model)] {
		d.AddProblem(path+".model", fmt.Sprintf("unknown model %q", route.Model), "add it under models or correct the name")
	}
	if route.Service != "" && !names.services[string(route.Service)] {
		d.AddProblem(path+".service", fmt.Sprintf("unknown service %q", route.Service), "add it under services or correct the name")
	}
	if route.Service != "" && route.Host == "" && !strings.HasPrefix(route.Path, servicePath(route.Service)) {
		d.AddProblem(path+".path", "the path does not belong to the route's service", "start it with "+servicePath(route.Service))
	}
}

// checkOpen checks a route that needs no key. Such a route must name a model or
// service, list its methods and be idempotent, so that it doesn't expose more
// than intended.
func (d *decoder) checkOpen(route *Route, path string) {
	if route.Model == "" && route.Service == "" {
		d.AddProblem(path+".open", "an open route must be for one model or service", "name the model or the service")
	}
	if len(route.Methods) == 0 {
		d.AddProblem(path+".open", "an open route must list its methods", `add methods such as ["GET"]`)
	}
	if !route.Idempotent {
		d.AddProblem(path+".open", "an open route must be idempotent", "require a key for requests that change state")
	}
}

// shadows reports whether every request that matches the other route also
// matches this one.
func (r *Route) shadows(other *Route) bool {
	if r.Path == "" || !strings.HasPrefix(other.Path, r.Path) {
		return false
	}
	if r.Host != "" && r.Host != other.Host {
		return false
	}
	if r.Model != "" && r.Model != other.Model {
		return false
	}
	if r.Service != "" && r.Service != other.Service {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	for _, method := range other.Methods {
		if !slices.Contains(r.Methods, method) {
			return false
		}
	}
	return len(other.Methods) > 0
}
