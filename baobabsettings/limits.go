package baobabsettings

// Limits holds the bounds on the size and number of requests and on the memory of a node.
type Limits struct {
	maxHeaderSize  Size
	maxBodySize    Size
	maxMessageSize Size
	maxCalls       int
	aheadRequests  int
	aheadSize      Size
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
		aheadRequests:  r.integer("limits", "read_ahead_requests", 16, 0, 1024),
		aheadSize:      r.size("limits", "read_ahead_size", 16*KiB, KiB, MiB),
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

// MaxCalls returns the largest number of calls from callers that are in progress at the same time.
func (l Limits) MaxCalls() int { return l.maxCalls }

// ReadAheadRequests returns the largest number of requests on one connection that are served while others before them are
// unanswered. Zero serves the requests of a connection one after another.
func (l Limits) ReadAheadRequests() int { return l.aheadRequests }

// ReadAheadSize returns how much is read ahead on one connection.
func (l Limits) ReadAheadSize() Size { return l.aheadSize }

// HeapSize returns the memory limit of the Go runtime, near which garbage collections become more frequent.
func (l Limits) HeapSize() Size { return l.heapSize }

// HeapGrowth returns how far the heap may grow between two garbage collections, in percent of the live heap.
func (l Limits) HeapGrowth() int { return l.heapGrowth }

// BodyMemory returns the largest total size of the request bodies from callers that are held at the same time. The same
// bound holds separately for those from other nodes.
func (l Limits) BodyMemory() Size { return l.bodyMemory }
