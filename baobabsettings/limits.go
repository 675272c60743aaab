package baobabsettings

// Limits bounds what a node accepts.
type Limits struct {
	maxHeaderSize  Size
	maxBodySize    Size
	maxMessageSize Size
	maxCalls       int
	bodyMemory     Size
	heapSize       Size
	heapGrowth     int // Percent.
}

func readLimits(r *reader) Limits {
	return Limits{
		maxHeaderSize:  r.size("limits", "max_header_size", 64*KiB, KiB, MiB),
		maxBodySize:    r.size("limits", "max_body_size", MiB, KiB, GiB),
		maxMessageSize: r.size("limits", "max_message_size", 16*MiB, 64*KiB, 256*MiB),
		maxCalls:       r.integer("limits", "max_calls", 4096, 1, 1<<20),
		heapGrowth:     r.integer("limits", "heap_growth_percent", 400, 10, 10_000),
		bodyMemory:     r.size("limits", "body_memory", 256*MiB, KiB, 64*GiB),
		heapSize:       r.size("limits", "heap_size", 16*MiB, 4*MiB, 64*GiB),
	}
}

// MaxHeaderSize returns the largest request header of a caller.
func (l Limits) MaxHeaderSize() Size { return l.maxHeaderSize }

// MaxBodySize returns the largest request body of a caller.
func (l Limits) MaxBodySize() Size { return l.maxBodySize }

// MaxMessageSize returns the largest message between nodes.
func (l Limits) MaxMessageSize() Size { return l.maxMessageSize }

// MaxCalls returns the largest number of calls in progress at the entry.
func (l Limits) MaxCalls() int { return l.maxCalls }

// HeapSize returns the memory of the process above which it collects garbage more often.
func (l Limits) HeapSize() Size { return l.heapSize }

// HeapGrowth returns by how many percent of the live heap it may grow between two collections.
func (l Limits) HeapGrowth() int { return l.heapGrowth }

// BodyMemory returns the largest sum of the request bodies of callers, and likewise of other nodes, held at one time.
func (l Limits) BodyMemory() Size { return l.bodyMemory }
