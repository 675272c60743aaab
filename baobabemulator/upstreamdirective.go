package baobabemulator

import (
	"net/http"
	"strconv"
	"time"
)

// An UpstreamDirective is the special treatment that one request demands of an emulated upstream. Each field is given by
// a query parameter, for example ?delay_ms=50, or by a header field, for example Emulator-Delay-Ms: 50.
type UpstreamDirective struct {
	Delay         time.Duration // delay_ms: service time instead of a random one.
	Size          int           // size: minimum size of the answer's body in bytes.
	Pieces        int           // pieces: number of separately flushed pieces of the body.
	PieceInterval time.Duration // piece_interval_ms: time between two pieces.
	Truncate      bool          // truncate: close the connection in the middle of the body.
	Fail          int           // fail: status to answer with at once; zero: none.
	Crash         bool          // crash: crash while the call runs.
	hasDelay      bool
}

// maxUpstreamAnswerBytes limits the size of an answer that a request can demand.
const maxUpstreamAnswerBytes = 64 << 20

func parseUpstreamDirective(r *http.Request) UpstreamDirective {
	query := r.URL.Query()
	get := func(parameter, field string) string {
		if v := query.Get(parameter); v != "" {
			return v
		}
		return r.Header.Get(field)
	}
	number := func(parameter, field string) int {
		n, _ := strconv.Atoi(get(parameter, field))
		return max(n, 0)
	}
	return UpstreamDirective{
		Delay:         time.Duration(number("delay_ms", "Emulator-Delay-Ms")) * time.Millisecond,
		Size:          min(number("size", "Emulator-Size"), maxUpstreamAnswerBytes),
		Pieces:        max(number("pieces", "Emulator-Pieces"), 1),
		PieceInterval: time.Duration(number("piece_interval_ms", "Emulator-Piece-Interval-Ms")) * time.Millisecond,
		Truncate:      number("truncate", "Emulator-Truncate") == 1,
		Fail:          number("fail", "Emulator-Fail"),
		Crash:         number("crash", "Emulator-Crash") == 1,
		hasDelay:      get("delay_ms", "Emulator-Delay-Ms") != "",
	}
}
