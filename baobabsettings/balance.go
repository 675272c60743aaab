package baobabsettings

import "time"

const (
	// bytesPerMegabit converts Mbit/s to bytes per second.
	bytesPerMegabit = 1_000_000 / 8
	// maxLinkMegabits bounds the speed of a link to 1 Tbit/s.
	maxLinkMegabits = 1_000_000
)

// Balance holds the settings of the distribution of calls over endpoints. Without them, bodies are sent with their calls.
type Balance struct {
	grantBodySize Size
	linkMegabits  float64
	domainSaving  time.Duration
	regionSaving  time.Duration
	rates         bool
}

func readBalance(r *reader) Balance {
	b := Balance{
		grantBodySize: r.size("balance", "grant_body_size", 0, 0, GiB),
		linkMegabits:  r.number("balance", "link_mbps", 0, 0, maxLinkMegabits),
		domainSaving:  r.duration("balance", "leave_domain_saving", 0, 0, time.Minute),
		regionSaving:  r.duration("balance", "leave_region_saving", 0, 0, time.Minute),
		rates:         r.choice("balance", "rates", "off", "on", "off") == "on",
	}
	if b.regionSaving < b.domainSaving {
		r.addProblem("balance", "leave_region_saving", "%s is shorter than leave_domain_saving %s", b.regionSaving, b.domainSaving)
	}
	return b
}

// GrantBodySize returns the size above which a body is sent to another node only after that node has asked for it. Zero
// sends all bodies with their calls.
func (b Balance) GrantBodySize() Size { return b.grantBodySize }

// LinkBytesPerSecond returns the speed of the VM's network link in each direction, or zero if it is not known.
func (b Balance) LinkBytesPerSecond() int64 { return int64(b.linkMegabits * bytesPerMegabit) }

// LeaveDomainSaving returns the wait that a call must save by going to another failure domain of its region.
func (b Balance) LeaveDomainSaving() time.Duration { return b.domainSaving }

// LeaveRegionSaving returns the wait that a call must save by going to another region. If it is zero, a call leaves its
// failure domain while that is overloaded, however far it goes.
func (b Balance) LeaveRegionSaving() time.Duration { return b.regionSaving }

// Rates reports whether nodes tell each other how long calls take at their upstreams, and choose by it.
func (b Balance) Rates() bool { return b.rates }
