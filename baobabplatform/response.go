package baobabplatform

// EraField is the header field with the era of the store in the project's own protocol.
const EraField = "Baobab-Store-Era"

// A Response is a successful response of the platform.
type Response struct {
	data []byte
	era  uint64
}

// Data returns the body.
func (r Response) Data() []byte { return r.data }

// Era returns the era of the store, or 0 if the response does not name it. The era rises when the store is restored from
// an older copy, which then gives out again the revisions that followed the copy. Revisions of different eras cannot be
// compared.
func (r Response) Era() uint64 { return r.era }
