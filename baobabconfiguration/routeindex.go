package baobabconfiguration

import "strings"

// routeIndex finds the route of a request without allocating.
type routeIndex struct {
	hosts map[string]*hostRoutes // The routes for every host are under the empty host.
}

type hostRoutes struct {
	longest  int // Bytes of the longest prefix; bounds the work on long paths.
	prefixes map[string][]routeEntry
}

type routeEntry struct {
	route  Route
	policy Policy
}

func newRouteIndex(entries []routeEntry) *routeIndex {
	x := &routeIndex{hosts: map[string]*hostRoutes{}}
	for _, e := range entries {
		h := x.hosts[e.route.host]
		if h == nil {
			h = &hostRoutes{prefixes: map[string][]routeEntry{}}
			x.hosts[e.route.host] = h
		}
		h.longest = max(h.longest, len(e.route.pathPrefix))
		h.prefixes[e.route.pathPrefix] = append(h.prefixes[e.route.pathPrefix], e)
	}
	return x
}

// match returns the entry for a host in small letters without port, a clean path and a method, or nil.
func (x *routeIndex) match(host, path, method string) *routeEntry {
	if h := x.hosts[host]; h != nil {
		if e := h.match(path, method); e != nil {
			return e
		}
	}
	if host == "" {
		return nil
	}
	if h := x.hosts[""]; h != nil {
		return h.match(path, method)
	}
	return nil
}

// match tries the prefixes of whole segments, the longest first. Of two that differ only in a slash at the end, the one
// with the slash is the longer.
func (h *hostRoutes) match(path, method string) *routeEntry {
	rest := ""
	if len(path) > h.longest {
		// The byte after a prefix must be a slash, so one more byte is kept to see it.
		path = path[:h.longest+1]
		path, rest = cutLast(path)
	}
	for path != "" {
		if rest != "" {
			if e := pickMethod(h.prefixes[path+"/"], method); e != nil {
				return e
			}
		}
		if e := pickMethod(h.prefixes[path], method); e != nil {
			return e
		}
		path, rest = cutLast(path)
	}
	return pickMethod(h.prefixes["/"], method)
}

// cutLast returns the part of a path before its last slash, and the slash.
func cutLast(path string) (before, slash string) {
	i := strings.LastIndexByte(path, '/')
	return path[:i], path[i : i+1]
}

// pickMethod returns the entry that lists the method, else the one for every method, else nil.
func pickMethod(entries []routeEntry, method string) *routeEntry {
	var every *routeEntry
	for i := range entries {
		e := &entries[i]
		if len(e.route.methods) == 0 {
			every = e
			continue
		}
		if e.route.allows(method) {
			return e
		}
	}
	return every
}
