package baobabsettings

// Values of the key access.
const (
	operatorsByToken = "token"
	noOperators      = "none"
)

// Operator holds the settings of the operators' API.
type Operator struct {
	token string // Empty: no operator has access.
}

func readOperator(r *reader) Operator {
	if r.choice("operator", "access", operatorsByToken, operatorsByToken, noOperators) == noOperators {
		return Operator{}
	}
	name, ok := r.required("operator", "token_file")
	if !ok {
		return Operator{}
	}
	return Operator{token: string(r.secret("operator", "token_file", name))}
}

// Token returns the bearer token that operators send, or an empty text when none has access.
func (o Operator) Token() string { return o.token }
