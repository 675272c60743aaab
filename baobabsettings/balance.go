package baobabsettings

const (
	// bytesPerMegabit converts Mbit/s to bytes per second.
	bytesPerMegabit = 1_000_000 / 8
	// maxLinkMegabits bounds the speed of a link to 1 Tbit/s.
	maxLinkMegabits = 1_000_000
)

// Balance holds the settings of the distribution of calls over endpoints. Without them, bodies are sent with their calls.
type Balance struct {
	grantBodySize Size
	linkMegabits  int
}

func readBalance(r *reader) Balance {
	return Balance{
		grantBodySize: r.size("balance", "grant_body_size", 0, 0, GiB),
		linkMegabits:  r.integer("balance", "link_mbps", 0, 0, maxLinkMegabits),
	}
}

// GrantBodySize returns the size above which a body is sent to another node only after that node has asked for it. Zero
// sends all bodies with their calls.
func (b Balance) GrantBodySize() Size { return b.grantBodySize }

// LinkBytesPerSecond returns the speed of the VM's network link in each direction, or zero if it is not known.
func (b Balance) LinkBytesPerSecond() int64 { return int64(b.linkMegabits) * bytesPerMegabit }
