package ownership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/ownership"
)

const (
	// histories is the number of histories of a test.
	histories = 60
	// formerLeaderTime is longer than former leaders usually act on after an election.
	formerLeaderTime = 6 * time.Second
	// maxCalmMove allows three calls to servers that finish their work at once, and is far below the time of a hold.
	maxCalmMove = 600 * time.Millisecond
)

// withMoves returns disruptions during which keys also move for other reasons.
func withMoves(f modelFaults) modelFaults {
	f.departures, f.balances = 0.4, 0.5
	return f
}

// Disruptions of which each has a test of its own.
var (
	promptCalls      = withMoves(modelFaults{cuts: 0.2, lostAnswers: 0.1, isolations: 0.1})
	lateRenewals     = withMoves(modelFaults{lateGrants: 0.2, lostAnswers: 0.1})
	overtakenCalls   = withMoves(modelFaults{heldUpCalls: 0.3, lostAnswers: 0.1})
	restartedServers = withMoves(modelFaults{restarts: 0.3})
	staleEntries     = withMoves(modelFaults{restarts: 0.2, staleEntries: 0.3})
	formerLeaders    = withMoves(modelFaults{elections: 0.2, formerTime: formerLeaderTime})
	restartedBeside  = withMoves(modelFaults{restarts: 0.2, elections: 0.2, formerTime: formerLeaderTime})
	restartedOften   = modelFaults{restarts: 0.8, elections: 0.3, departures: 0.8, balances: 0.2, formerTime: formerLeaderTime}
	restartedApart   = withMoves(modelFaults{restarts: 0.3, elections: 0.3, isolations: 0.6, formerTime: formerLeaderTime})
	pausedLeaders    = withMoves(modelFaults{pauses: 0.3, cuts: 0.3, lostAnswers: 0.1})
	reelectedLeaders = withMoves(modelFaults{reelections: 0.3, lostAnswers: 0.1})
	restoredStore    = withMoves(modelFaults{restorations: 0.2, elections: 0.1, once: true})
	restoredLeaders  = withMoves(modelFaults{restorations: 0.1, corruptions: 0.1, elections: 0.1, formerTime: formerLeaderTime, once: true})
	unreadableTable  = withMoves(modelFaults{corruptions: 0.2, elections: 0.1, once: true})
	olderTables      = withMoves(modelFaults{corruptions: 0.2, elections: 0.1, oldKnowledge: 0.5, once: true})
	allDisruptions   = withMoves(modelFaults{
		lostAnswers: 0.05, heldUpCalls: 0.1, lateGrants: 0.05, cuts: 0.1, restarts: 0.05, staleEntries: 0.05, elections: 0.05, reelections: 0.02,
		isolations: 0.05, restorations: 0.02, corruptions: 0.02, oldKnowledge: 0.2, formerTime: formerLeaderTime,
	})
)

func TestKeysNeverHaveTwoHolders(t *testing.T) { checkHistories(t, 2*histories, allDisruptions) }

func TestPromptCallsHaveNoSecondHolder(t *testing.T) { checkHistories(t, histories, promptCalls) }

// Guards against a grant that is carried out after the release of its keys was answered.
func TestLateRenewalAfterReleaseHasNoSecondHolder(t *testing.T) {
	checkHistories(t, histories, lateRenewals)
}

// Guards against a renewal that arrives after the release that was sent after it.
func TestReleaseThatOvertakesRenewalHasNoSecondHolder(t *testing.T) {
	checkHistories(t, histories, overtakenCalls)
}

// Guards against a new process that took grants meant for the former one, whose entry then seems to free the keys.
func TestRestartUnderSameIDHasNoSecondHolder(t *testing.T) {
	checkHistories(t, histories, restartedServers)
}

// Guards against an entry of a former process that comes again.
func TestStaleEntryHasNoSecondHolder(t *testing.T) { checkHistories(t, histories, staleEntries) }

// Guards against a former leader that renews grants after the next one has had the keys released.
func TestFormerLeaderThatActsOnHasNoSecondHolder(t *testing.T) {
	checkHistories(t, histories, formerLeaders)
}

// Guards against a former leader's grant to a process that has started since, and so forgot the fence under which the keys were taken from it.
func TestRestartBesideFormerLeaderHasNoSecondHolder(t *testing.T) {
	tests := map[string]modelFaults{"seldom": restartedBeside, "often": restartedOften, "beside a leader that reaches few VMs": restartedApart}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			const longHistories = 3 * histories
			checkHistories(t, longHistories, faults)
		})
	}
}

// Guards against a grant that is written long after its issue, as its sender stood still after the last check.
func TestGrantWrittenAfterPauseHasNoSecondHolder(t *testing.T) {
	checkHistories(t, histories, pausedLeaders)
}

// Guards against answers to calls of an earlier leadership of the same VM.
func TestReelectedLeaderHasNoSecondHolder(t *testing.T) {
	checkHistories(t, histories, reelectedLeaders)
}

func TestRestoredStoreHasNoSecondHolder(t *testing.T) { checkHistories(t, histories, restoredStore) }

// Guards against a former leader that acts on while the next one raises the fences of a lost table.
func TestFormerLeaderOfLostTableHasNoSecondHolder(t *testing.T) {
	checkHistories(t, histories, restoredLeaders)
}

func TestUnreadableTableHasNoSecondHolder(t *testing.T) {
	checkHistories(t, histories, unreadableTable)
}

// Guards against a leader that takes the table which it knew as the latest one while the stored one can't be read.
func TestUnreadableTableIsNotReplacedByOlderOne(t *testing.T) {
	checkHistories(t, histories, olderTables)
}

// Guards against a leader that leads on after a restoration though it never knew the latest table, which couldn't be read.
func TestLeaderWithoutLatestTableDoesNotLeadOn(t *testing.T) {
	tests := map[string]modelFaults{
		"it knew no table":       withMoves(modelFaults{}),
		"it knew an older table": withMoves(modelFaults{oldKnowledge: 1}),
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(histories / 2) {
				s := newSiteModel(seed, faults, modelFlaw{})
				s.play(modelTime / 4)
				s.store.unreadable = true
				s.elect(nil)
				s.play(time.Second)
				s.restore()
				s.play(modelTime / 2)
				is.Equal(s.problem, "")
			}
		})
	}
}

// Guards against the same raised fences after each restoration.
func TestSecondRestorationRaisesFencesFurther(t *testing.T) {
	f := restoredStore
	f.once = false
	checkHistories(t, histories, f)
}

// Guards against the same first fences each time that the table can't be read.
func TestSecondUnreadableTableRaisesFencesFurther(t *testing.T) {
	f := unreadableTable
	f.once = false
	checkHistories(t, histories, f)
}

// Guards against a model that finds nothing: a leader that is wrong on purpose must be found.
func TestModelFindsWrongLeaders(t *testing.T) {
	tests := map[string]struct {
		faults modelFaults
		flaw   modelFlaw
	}{
		"doesn't wait for holds":                                 {promptCalls, modelFlaw{skipsHoldWait: true}},
		"believes at once that an incarnation has ended":         {restartedServers, modelFlaw{believesEnded: true}},
		"believes a release while a grant is unanswered":         {lateRenewals, modelFlaw{believesRelease: true}},
		"assumes that former leaders have gone at the election":  {formerLeaders, modelFlaw{ignoresFormerLeaders: true}},
		"grants on connections newer than its confirmation":      {restartedOften, modelFlaw{usesAnyConnection: true}},
		"counts holds from the issue of a grant":                 {pausedLeaders, modelFlaw{countsFromIssue: true}},
		"keeps the fences of a table from an older store's copy": {restoredStore, modelFlaw{keepsFences: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, problem := findProblem(histories, test.faults, test.flaw)
			is.True(problem != "") // the model finds the broken promise
		})
	}
}

// Guards against moves that wait out a hold although all calls are answered.
func TestCalmMoveTakesFewCalls(t *testing.T) {
	tests := map[string]modelFaults{
		"one leader":         withMoves(modelFaults{}),
		"a change of leader": withMoves(modelFaults{elections: 0.2}),
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(histories / 3) {
				s := newSiteModel(seed, faults, modelFlaw{})
				s.run()
				is.Equal(s.problem, "")
				is.True(len(s.moveStarts) > 0)
				is.True(s.slowestMove < maxCalmMove)
				is.True(s.slowestInheritedMove < ownership.MaxHoldTime+maxCalmMove)
			}
		})
	}
}
