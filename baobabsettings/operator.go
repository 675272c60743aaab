package baobabsettings

// Operator holds the settings of the operators' API.
type Operator struct {
	token string
}

func readOperator(r *reader) Operator {
	name, ok := r.required("operator", "token_file")
	if !ok {
		return Operator{}
	}
	return Operator{token: string(r.secret("operator", "token_file", name))}
}

// Token returns the bearer token that operators send.
func (o Operator) Token() string { return o.token }
