package baobabscarcity

// Rules are the settings of admission control that a run compares.
type Rules struct {
	Name           string
	NestedPriority bool
	ObjectiveOrder bool
	RootAdmission  bool
	RetryOrder     bool
	KeptPercent    int
}

// AllRules returns today's rules and all combinations of settings that are compared with them.
func AllRules() []Rules {
	return []Rules{
		{Name: "all off"},
		{Name: "nested_priority", NestedPriority: true},
		{Name: "objective_order", ObjectiveOrder: true},
		{Name: "root_admission", NestedPriority: true, RootAdmission: true},
		{Name: "all on", NestedPriority: true, ObjectiveOrder: true, RootAdmission: true, RetryOrder: true, KeptPercent: 50},
	}
}
