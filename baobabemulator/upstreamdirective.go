package baobabemulator

import (
	"net/http"
	"strconv"
	"time"
)

// UpstreamDirective is what one request asks of a stand-in upstream. Each field is a query parameter, for example
// ?delay_ms=50, or a header field, for example Emulator-Delay-Ms: 50.
type UpstreamDirective struct {
	Delay         time.Duration // delay_ms: service time in place of the drawn one.
	Size          int           // size: bytes of the answer's body, at least.
	Pieces        int           // pieces: number of flushed pieces.
	PieceInterval time.Duration // piece_interval_ms: time between pieces.
	Truncate      bool          // truncate: end the connection in the middle of the body.
	Fail          int           // fail: answer with this status at once.
	Crash         bool          // crash: exit while the call runs.
	delaySet      bool
}

// maxUpstreamAnswerBytes bounds the answer that a request can ask for.
const maxUpstreamAnswerBytes = 64 << 20

func readUpstreamDirective(r *http.Request) UpstreamDirective {
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
		delaySet:      get("delay_ms", "Emulator-Delay-Ms") != "",
	}
}
