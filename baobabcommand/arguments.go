package baobabcommand

import "time"

// arguments are the global options and the commands.
type arguments struct {
	Nodes     []string      `arg:"--node,separate" placeholder:"ADDRESS" help:"operator address of a node, ip:port or URL; repeat it to name more nodes, tried in turn [env: BAOBABDALE_NODE, separated by commas]"`
	TokenFile string        `arg:"--token-file" placeholder:"FILE" help:"file with the operators' token [env: BAOBABDALE_TOKEN_FILE]"`
	Output    string        `arg:"--output" default:"text" placeholder:"FORMAT" help:"text or json"`
	Timeout   time.Duration `arg:"--timeout" default:"30s" placeholder:"DURATION" help:"time allowed for one request, with all attempts at all nodes"`

	Accept         *acceptCommand       `arg:"subcommand:accept" help:"make the edited configuration the next version"`
	Account        *accountGroup        `arg:"subcommand:account" help:"set, delete, list and show client accounts"`
	Authentication *authenticationGroup `arg:"subcommand:authentication" help:"require keys also while there is no account, or only while there is one"`
	Apply          *applyCommand        `arg:"subcommand:apply" help:"set the resources in a JSON file or a folder of them"`
	Diff           *diffCommand         `arg:"subcommand:diff" help:"compare the edited configuration with the version in force"`
	Label          *labelGroup          `arg:"subcommand:label" help:"set, delete and list labels of services, upstreams and accounts"`
	Node           *nodeCommand         `arg:"subcommand:node" help:"run a node"`
	Policy         *policyGroup         `arg:"subcommand:policy" help:"set, delete, list and show policies"`
	Rollout        *rolloutGroup        `arg:"subcommand:rollout" help:"start, abort and show roll-outs of versions"`
	Route          *routeGroup          `arg:"subcommand:route" help:"set, delete, list and show routes"`
	Selector       *selectorGroup       `arg:"subcommand:selector" help:"set, delete, list and show selectors"`
	Service        *serviceGroup        `arg:"subcommand:service" help:"set, delete, list and show services"`
	Settings       *settingsCommand     `arg:"subcommand:settings" help:"check the settings of a node"`
	Status         *statusCommand       `arg:"subcommand:status" help:"show where the version is in force, and why it is not elsewhere"`
	Watch          *watchCommand        `arg:"subcommand:watch" help:"show the status whenever it changes"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "baobabdale runs a node of the mesh and operates the mesh."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong usage, settings or token, 3 conflict, 4 unavailable, 5 rejected."
}
