package baobabsettings

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// minSecretBytes is the smallest length of a key or token.
const minSecretBytes = 16

// Settings are the validated settings of a node.
type Settings struct {
	node       Node
	listen     Listen
	platform   Platform
	peers      Peers
	operator   Operator
	limits     Limits
	call       Call
	claim      Claim
	membership Membership
	rollouts   Rollouts
	shutdown   Shutdown
	upstream   Upstream
	admission  Admission
	log        Log
	balance    Balance
	accounts   Accounts
}

// Load reads and validates a settings file and the files that it names. Relative names are relative to the folder of
// the settings file. The error is an *Error.
func Load(name string) (*Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		problem := Problem{file: name, text: singleLine(errors.Cause(err).Error())}
		return nil, newError("load settings", KindUnreadable, []Problem{problem}, err)
	}
	return Parse(name, data, func(file string) ([]byte, error) {
		if !filepath.IsAbs(file) {
			file = filepath.Join(filepath.Dir(name), file)
		}
		return os.ReadFile(file)
	})
}

// Parse validates settings and reads the files that they name with readFile. The name is used in problems. The error is
// an *Error.
func Parse(name string, data []byte, readFile func(string) ([]byte, error)) (*Settings, error) {
	r := newReader(name, data, readFile)
	s := &Settings{
		node:       readNode(r),
		listen:     readListen(r),
		platform:   readPlatform(r),
		peers:      readPeers(r),
		operator:   readOperator(r),
		limits:     readLimits(r),
		call:       readCall(r),
		claim:      readClaim(r),
		membership: readMembership(r),
		rollouts:   readRollouts(r),
		shutdown:   readShutdown(r),
		upstream:   readUpstream(r),
		admission:  readAdmission(r),
		log:        readLog(r),
		balance:    readBalance(r),
		accounts:   readAccounts(r),
	}
	r.reportUnknown()
	if len(r.problems) > 0 {
		return nil, newError("check settings", KindInvalid, r.problems, nil)
	}
	return s, nil
}

// Node returns the identity of the node.
func (s *Settings) Node() Node { return s.node }

// Listen returns the addresses on which the node listens.
func (s *Settings) Listen() Listen { return s.listen }

// Platform returns the settings of the platform client.
func (s *Settings) Platform() Platform { return s.platform }

// Peers returns the settings of discovery, authentication and links of other nodes.
func (s *Settings) Peers() Peers { return s.peers }

// Operator returns the settings of the operator API.
func (s *Settings) Operator() Operator { return s.operator }

// Limits returns the bounds on the size and number of requests and on the memory of the node.
func (s *Settings) Limits() Limits { return s.limits }

// Call returns the time limits of calls.
func (s *Settings) Call() Call { return s.call }

// Claim returns the settings of claims.
func (s *Settings) Claim() Claim { return s.claim }

// Membership returns the intervals and timeouts of failure detection and of state exchange.
func (s *Settings) Membership() Membership { return s.membership }

// Rollouts returns the settings of progressive roll-outs.
func (s *Settings) Rollouts() Rollouts { return s.rollouts }

// Shutdown returns the time limits of a graceful shutdown.
func (s *Settings) Shutdown() Shutdown { return s.shutdown }

// Upstream returns the settings of the upstream on the VM.
func (s *Settings) Upstream() Upstream { return s.upstream }

// Admission returns how admission control treats nested calls and objectives.
func (s *Settings) Admission() Admission { return s.admission }

// Accounts returns the settings of client accounts.
func (s *Settings) Accounts() Accounts { return s.accounts }

// Log returns the level and the format of the log.
func (s *Settings) Log() Log { return s.log }

// Balance returns the settings of the distribution of calls over endpoints.
func (s *Settings) Balance() Balance { return s.balance }
