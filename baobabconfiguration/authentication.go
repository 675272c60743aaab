package baobabconfiguration

// AuthenticationRequired is the name of the only Authentication that a document may have.
const AuthenticationRequired = "required"

// An Authentication makes routes require the key of an account also while the document has no account, so that the keys of
// the last account stop working when it is deleted.
type Authentication struct {
	baseResource
}

type authenticationJSON struct{}

// NewAuthentication returns the Authentication that ParseResource would return.
func NewAuthentication() (Authentication, error) { return newAuthentication(AuthenticationRequired) }

func parseAuthentication(name string, text []byte) (Resource, error) {
	var j authenticationJSON
	if err := decodeObject(text, &j); err != nil {
		return nil, err
	}
	return newAuthentication(name)
}

func newAuthentication(name string) (Authentication, error) {
	b, err := newBaseResource(name, authenticationJSON{})
	return Authentication{baseResource: b}, err
}

// Kind implements Resource.
func (a Authentication) Kind() Kind { return KindAuthentication }
