package baobabsettings

// Admission holds the settings of admission control under scarce capacity. All of them are off by default.
type Admission struct {
	nestedPriority bool
	objectiveOrder bool
	rootAdmission  bool
	retryOrder     bool
	keptPercent    int // 0 to 100.
}

func readAdmission(r *reader) Admission {
	a := Admission{
		nestedPriority: r.choice("admission", "nested_priority", "off", "on", "off") == "on",
		objectiveOrder: r.choice("admission", "objective_order", "off", "on", "off") == "on",
		retryOrder:     r.choice("admission", "retry_order", "off", "on", "off") == "on",
		rootAdmission:  r.choice("admission", "root_admission", "off", "on", "off") == "on",
		keptPercent:    r.integer("admission", "kept_percent", 0, 0, 100),
	}
	if a.rootAdmission && !a.nestedPriority {
		r.addProblem("admission", "root_admission", "requires nested_priority = on")
	}
	return a
}

// NestedPriority reports whether calls that an upstream makes while it runs another one are related to that call, and go
// before other calls of their rank.
func (a Admission) NestedPriority() bool { return a.nestedPriority }

// ObjectiveOrder reports whether calls that can still meet their objective go before those that cannot, and calls that
// would miss it because of the queue are refused.
func (a Admission) ObjectiveOrder() bool { return a.objectiveOrder }

// RetryOrder reports whether nested calls and the most urgent rank get a part of the retry budget of their own, and calls
// are not retried at a service that refuses nearly all of them for lack of room.
func (a Admission) RetryOrder() bool { return a.retryOrder }

// RootAdmission reports whether calls are refused whose nested calls could not be served for lack of room.
func (a Admission) RootAdmission() bool { return a.rootAdmission }

// KeptPercent returns which part of its usual share of an upstream's work each rank keeps while more urgent ranks ask for more
// than there is, in percent.
func (a Admission) KeptPercent() int { return a.keptPercent }
