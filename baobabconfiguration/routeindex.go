package baobabconfiguration

import "strings"

// routeIndex finds the route of a request without allocating.
type routeIndex struct {
	byHost map[string]*hostRoutes // Routes for every host have the empty host as key.
}

// hostRoutes finds the routes of one host by path and method.
type hostRoutes struct {
	longestPrefixBytes int // Length of the longest prefix; limits the work for long paths.
	byPathPrefix       map[string][]routeEntry
}

// routeEntry is a route with the policy that applies to it.
type routeEntry struct {
	route  Route
	policy Policy
}

func newRouteIndex(entries []routeEntry) *routeIndex {
	index := &routeIndex{byHost: map[string]*hostRoutes{}}
	for _, e := range entries {
		h := index.byHost[e.route.host]
		if h == nil {
			h = &hostRoutes{byPathPrefix: map[string][]routeEntry{}}
			index.byHost[e.route.host] = h
		}
		h.longestPrefixBytes = max(h.longestPrefixBytes, len(e.route.pathPrefix))
		h.byPathPrefix[e.route.pathPrefix] = append(h.byPathPrefix[e.route.pathPrefix], e)
	}
	return index
}

// match returns the entry for a lower-case host without port, a clean path and a method, or nil.
func (i *routeIndex) match(host, path, method string) *routeEntry {
	if h := i.byHost[host]; h != nil {
		if e := h.match(path, method); e != nil {
			return e
		}
	}
	if host == "" {
		return nil
	}
	if h := i.byHost[""]; h != nil {
		return h.match(path, method)
	}
	return nil
}

// match returns the entry for the path and method, or nil. It tries prefixes of whole segments, the longest first; a
// prefix with a trailing slash is tried before the same one without.
func (h *hostRoutes) match(path, method string) *routeEntry {
	slash := ""
	if len(path) > h.longestPrefixBytes {
		// A slash must follow a matching prefix, so one byte more than the longest prefix is kept.
		path = path[:h.longestPrefixBytes+1]
		path, slash = cutLastSlash(path)
	}
	for path != "" {
		if slash != "" {
			if e := matchMethod(h.byPathPrefix[path+"/"], method); e != nil {
				return e
			}
		}
		if e := matchMethod(h.byPathPrefix[path], method); e != nil {
			return e
		}
		path, slash = cutLastSlash(path)
	}
	return matchMethod(h.byPathPrefix["/"], method)
}

// cutLastSlash returns the part of the path before its last slash, and that slash.
func cutLastSlash(path string) (before, slash string) {
	i := strings.LastIndexByte(path, '/')
	return path[:i], path[i : i+1]
}

// matchMethod returns the entry that lists the method, or else the one for every method, or nil.
func matchMethod(entries []routeEntry, method string) *routeEntry {
	var anyMethod *routeEntry
	for i := range entries {
		e := &entries[i]
		if len(e.route.methods) == 0 {
			anyMethod = e
			continue
		}
		if e.route.allowsMethod(method) {
			return e
		}
	}
	return anyMethod
}
