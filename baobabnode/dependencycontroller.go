package baobabnode

import (
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// A dependencyController relates nested calls to the calls that make them, and limits the calls whose nested calls cannot
// be served.
type dependencyController struct{}

// A rootCall is what a nested call inherits from the call that makes it.
type rootCall struct {
	rank      string
	account   string
	deadline  time.Time
	objective time.Time // Zero: none.
}

// root returns the call in progress at the upstream on this VM that makes c, and whether there is one.
func (d *dependencyController) root(time.Time, *call.Call) (rootCall, bool) { return rootCall{}, false }

// track registers a call that starts at the upstream on this VM. The returned function ends the registration.
func (d *dependencyController) track(time.Time, *admissionRequest) func() { return func() {} }

// admitRoot refuses a call if the services that its upstream would call lack room.
func (d *dependencyController) admitRoot(time.Time, *admissionRequest) *call.Refusal { return nil }

// observeNested records how a nested call from the upstream on this VM ended. Exactly one of answer and refusal is set.
func (d *dependencyController) observeNested(time.Time, *admissionRequest, *call.Answer, *call.Refusal, time.Duration) {
}
