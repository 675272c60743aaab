package baobabupstream

import (
	"math"
	"net/http"
	"strconv"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// A Notice is what an upstream says about itself in the header of an answer or of a refusal. The zero value says nothing.
// Notices can be compared with ==.
type Notice struct {
	limited      bool
	requestLimit float64 // Requests per second, finite and at least 0; 0 unless limited.
	leaving      bool
}

// NewNotice returns a notice with a request limit, or without one if perSecond is negative.
func NewNotice(perSecond float64, leaving bool) Notice {
	if perSecond < 0 {
		return Notice{leaving: leaving}
	}
	return Notice{limited: true, requestLimit: perSecond, leaving: leaving}
}

// ParseNotice returns the notice in the header of an answer. A limit that is not a finite number of at least 0 is no
// limit.
func ParseNotice(names call.HeaderNames, h http.Header) Notice {
	var n Notice
	if name := names.Name(call.FieldLeaving); name != "" {
		n.leaving = h.Get(name) == "1"
	}
	if name := names.Name(call.FieldRequestLimit); name != "" {
		if v, err := strconv.ParseFloat(h.Get(name), 64); err == nil && v >= 0 && !math.IsInf(v, 0) {
			n.limited, n.requestLimit = true, v
		}
	}
	return n
}

// LimitOrNone returns the request limit, or a negative number without one.
func (n Notice) LimitOrNone() float64 {
	if !n.limited {
		return -1
	}
	return n.requestLimit
}

// RequestLimit returns the requests per second that the upstream takes from all nodes together, and whether it states a
// limit.
func (n Notice) RequestLimit() (perSecond float64, ok bool) { return n.requestLimit, n.limited }

// Leaving reports whether the upstream is about to leave and takes no further requests.
func (n Notice) Leaving() bool { return n.leaving }
