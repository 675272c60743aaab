package baobabsettings

import "time"

// minWithdrawalLimit leaves time for two refreshes of the proof, which is renewed each second.
const minWithdrawalLimit = 3 * time.Second

// Accounts holds the settings of client accounts.
type Accounts struct {
	withdrawalLimit time.Duration
}

func readAccounts(r *reader) Accounts {
	a := Accounts{withdrawalLimit: r.duration("accounts", "withdrawal_limit", 0, 0, time.Hour)}
	if a.withdrawalLimit > 0 && a.withdrawalLimit < minWithdrawalLimit {
		r.addProblem("accounts", "withdrawal_limit", "%s is neither 0s nor at least %s", a.withdrawalLimit, minWithdrawalLimit)
	}
	return a
}

// WithdrawalLimit returns the time after which a withdrawn key is not accepted by any node, or 0 for no limit.
func (a Accounts) WithdrawalLimit() time.Duration { return a.withdrawalLimit }
