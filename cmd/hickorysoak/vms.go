package main

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// Lengths of the short stops of a VM that gets a small share of a processor core, and of the times between them.
const (
	minStop = 5 * time.Millisecond
	maxStop = 80 * time.Millisecond
	maxTurn = 20 * time.Millisecond
)

// randomVM returns a random VM.
func (e *environment) randomVM(random *rand.Rand) *vm { return e.vms[random.IntN(len(e.vms))] }

// someVMs returns n random VMs.
func (e *environment) someVMs(random *rand.Rand, n int) (some []*vm) {
	for _, i := range random.Perm(len(e.vms))[:n] {
		some = append(some, e.vms[i])
	}
	return some
}

// pause stops VMs for the duration d.
func (e *environment) pause(d time.Duration, vms ...*vm) {
	for _, v := range vms {
		e.notes.add("%s is stopped for %s", v.name, d)
		v.signal(syscall.SIGSTOP)
	}
	time.Sleep(d)
	for _, v := range vms {
		v.signal(syscall.SIGCONT)
	}
}

// stopShortly stops a VM again and again for the duration d, as one that gets a small share of a processor core.
func (e *environment) stopShortly(random *rand.Rand, v *vm, d time.Duration) {
	e.notes.add("%s is stopped shortly and often for %s", v.name, d)
	for end := time.Now().Add(d); time.Now().Before(end); {
		v.signal(syscall.SIGSTOP)
		time.Sleep(minStop + time.Duration(random.Int64N(int64(maxStop-minStop))))
		v.signal(syscall.SIGCONT)
		time.Sleep(time.Duration(random.Int64N(int64(maxTurn))))
	}
}

// restartVM ends a VM's process with a signal and starts it again after a quarter of d.
func (e *environment) restartVM(v *vm, s syscall.Signal, d time.Duration) {
	e.notes.add("%s gets the signal: %s", v.name, s)
	v.signal(s)
	if s != syscall.SIGKILL {
		// A process that is stopped handles other signals only after SIGCONT.
		v.signal(syscall.SIGCONT)
	}
	v.waitForExit()
	time.Sleep(d / 4)
	if err := v.start(e.program); err != nil {
		panic(err)
	}
	e.notes.add("%s is started", v.name)
}

// restartAll ends all VMs' processes at once.
func (e *environment) restartAll(s syscall.Signal, d time.Duration) {
	var wg sync.WaitGroup
	for _, v := range e.vms {
		wg.Go(func() { e.restartVM(v, s, d) })
	}
	wg.Wait()
}

// strikeLeader injects a fault of a VM into the one that was the last to lead.
func (e *environment) strikeLeader(random *rand.Rand, d time.Duration) {
	leader := e.leader()
	if leader == nil {
		return
	}
	switch random.IntN(4) {
	case 0:
		e.restartVM(leader, syscall.SIGKILL, d)
	case 1:
		e.restartVM(leader, syscall.SIGTERM, d)
	case 2:
		e.pause(d, leader)
	default:
		e.stopShortly(random, leader, d)
	}
}

// leader returns the VM whose log says last that it leads; nil if none does.
func (e *environment) leader() (leader *vm) {
	var latest time.Time
	for _, v := range e.vms {
		data, err := os.ReadFile(v.log.Name())
		if err != nil {
			continue
		}
		i := bytes.LastIndex(data, []byte(`"msg":"this VM leads"`))
		if i < 0 {
			continue
		}
		line := data[bytes.LastIndexByte(data[:i], '\n')+1:]
		if end := bytes.IndexByte(line, '\n'); end >= 0 {
			line = line[:end]
		}
		var l struct{ Time time.Time }
		if json.Unmarshal(line, &l) == nil && l.Time.After(latest) {
			latest, leader = l.Time, v
		}
	}
	return leader
}
