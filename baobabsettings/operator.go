package baobabsettings

// Values of the key access.
const (
	accessByToken = "token"
	accessNone    = "none"
)

// Operator holds the settings of the operator API.
type Operator struct {
	token string // Empty: no operator has access.
}

func readOperator(r *reader) Operator {
	if r.choice("operator", "access", accessByToken, accessByToken, accessNone) == accessNone {
		return Operator{}
	}
	tokenFile, ok := r.required("operator", "token_file")
	if !ok {
		return Operator{}
	}
	return Operator{token: string(r.secretFile("operator", "token_file", tokenFile))}
}

// Token returns the bearer token of operators, or an empty string if no operator has access.
func (o Operator) Token() string { return o.token }
