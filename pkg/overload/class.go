package overload

import "amaranthplank.example/amaranthplank/pkg/ident"

// class counts the bytes that one kind of thing holds.
type class struct {
	name string
	// most is the most bytes, or zero without a limit.
	most, held int64
	// routes are the bytes of each route's requests.
	routes map[ident.Route]int64
}

// newClass returns a class that holds nothing.
func newClass(name string, most int64) class {
	return class{name: name, most: most, routes: make(map[ident.Route]int64)}
}

// fits reports whether more bytes for a route fit, and whether those of its route alone do. The
// empty route has no part of its own.
func (c *class) fits(route ident.Route, bytes int64) (all, own bool) {
	if c.most == 0 {
		return true, true
	}
	own = route == "" || float64(c.routes[route]+bytes) <= routeShare*float64(c.most)
	return c.held+bytes <= c.most && own, own
}

// add counts bytes of a route, or no longer counts them if they are negative.
func (c *class) add(route ident.Route, bytes int64) {
	c.held += bytes
	if route == "" {
		return
	}
	if c.routes[route] += bytes; c.routes[route] == 0 {
		delete(c.routes, route)
	}
}
