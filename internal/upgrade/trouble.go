package upgrade

import (
	"context"
	"time"

	"syscall"

	"github.com/troutmast/troutmast/platform/standin"
)

// trouble has one trouble happen. Those that last go on beside the next.
func (r *run) trouble(ctx context.Context, what trouble) {
	n := r.nodes[r.rng.IntN(len(r.nodes))]
	switch what {
	case crashWorker:
		r.crashOne()
	case storeOutage:
		r.closeDoors(r.nodes, what, 1500*time.Millisecond)
	case storeCut:
		r.closeDoors([]*node{n}, what, 3*time.Second)
	case storeRestore:
		r.restore()
	case killNode:
		r.killOne(n)
	case freezeNode:
		r.freezeOne(n)
	case shedding:
		r.shed()
	case leaving:
		r.leave()
	case limiting:
		r.limit(ctx)
	case deadly:
		r.deadly(ctx)
	case reconfigure:
		r.reconfigure()
	case resetLink, silentLink, slowLink, oneWayLink:
		r.harmWorkerLink(what)
	case resetStore, silentStore, oneWayStore:
		r.harmStoreLink(what)
	}
}

// draw draws a worker of a service.
func (r *run) draw(service string) *standin.Worker {
	list := r.workers.Workers(service)
	return list[r.rng.IntN(len(list))]
}

// crashOne ends a worker of a group; another one comes in its place.
func (r *run) crashOne() {
	w := r.draw(standin.EngineName)
	r.note(change{until: time.Now().Add(troubleTime), what: w.ID, trouble: crashWorker})
	w.Crash()
	r.startAfter(w)
}

// startAfter starts a worker in the place of one that ended.
func (r *run) startAfter(w *standin.Worker) {
	time.AfterFunc(time.Second, func() {
		if err := r.startWorker(w.Service, w.Domain); err != nil {
			r.note(change{what: err.Error()})
		}
	})
}

// closeDoors has the store turn nodes away for a time.
func (r *run) closeDoors(nodes []*node, what trouble, d time.Duration) {
	place := "store"
	if what == storeCut {
		place = nodes[0].machine.Name
	}
	r.note(change{until: time.Now().Add(d), what: place, trouble: what})
	for _, n := range nodes {
		n.door.Close(true)
	}
	time.AfterFunc(d, func() {
		for _, n := range nodes {
			n.door.Close(false)
		}
	})
}

// restore has the store come back from a copy that is some time old; workers and the operator
// write again what is missing.
func (r *run) restore() {
	c := r.store.Copy()
	time.Sleep(copyAge)
	r.note(change{until: time.Now().Add(troubleTime), what: "store", trouble: storeRestore})
	r.store.Restore(c)
	time.Sleep(rewriteWithin / 2)
	r.workers.WriteAgain()
	r.store.WriteAgain()
}

// killOne ends a node at once; the build that it ran starts again.
func (r *run) killOne(n *node) {
	ex, b := n.life()
	r.note(change{until: time.Now().Add(troubleTime), what: "killed", node: n, trouble: killNode})
	ex.kill()
	r.restart(n, ex, b)
}

// restart starts a build on a node whose process has been killed.
func (r *run) restart(n *node, killed *execution, b Build) {
	time.Sleep(300 * time.Millisecond)
	if now, _ := n.life(); now != killed {
		return // it was replaced meanwhile: a second process would outlive the run
	}
	if err := n.start(b); err != nil {
		r.note(change{what: err.Error(), node: n})
	}
}

// freezeOne has a node stand still for a second.
func (r *run) freezeOne(n *node) {
	r.note(change{until: time.Now().Add(troubleTime), what: "frozen", node: n, trouble: freezeNode})
	signalFor(n, syscall.SIGSTOP, syscall.SIGCONT, time.Second)
}

// shed has a plain worker turn all requests away for a time.
func (r *run) shed() {
	w := r.draw(standin.PlainName)
	r.note(change{until: time.Now().Add(troubleTime), what: w.ID, trouble: shedding})
	w.SetShedding(restSeconds)
	time.AfterFunc(troubleTime, func() { w.SetShedding(0) })
}

// leave has a worker of a group leave; another one comes.
func (r *run) leave() {
	w := r.draw(standin.EngineName)
	r.note(change{until: time.Now().Add(drainTime + troubleTime), what: w.ID, trouble: leaving})
	w.Leave(drainTime)
	time.AfterFunc(drainTime, func() { r.startAfter(w) })
}

// limit has two workers name a limit for a time.
func (r *run) limit(ctx context.Context) {
	for _, service := range []string{standin.EngineName, standin.PlainName} {
		w := r.draw(service)
		r.note(change{until: time.Now().Add(2 * troubleTime), what: w.ID, trouble: limiting})
		w.SetLimit(limitedRate)
		time.AfterFunc(2*troubleTime, func() { w.SetLimit(-1) })
	}
	sleep(ctx, troubleTime)
}

// deadly has callers send a request that ends the workers which run it, again and again.
func (r *run) deadly(ctx context.Context) {
	r.note(change{until: time.Now().Add(2 * troubleTime), what: "deadly", trouble: deadly})
	for end := time.Now().Add(troubleTime); time.Now().Before(end) && ctx.Err() == nil; {
		if n, _ := r.callers.choose(); n != nil {
			r.callers.active.Go(func() { r.callers.try(n, standin.StreamPath, standin.DeadlyBody, standin.Key) })
		}
		sleep(ctx, deadlyEvery)
	}
	sleep(ctx, time.Second)
	r.refill()
}

// refill starts workers until each domain is whole again.
func (r *run) refill() {
	have := map[string]int{}
	for _, w := range r.workers.Workers(standin.EngineName) {
		have[w.Domain]++
	}
	for _, d := range []string{"d0", "d1", "d2"} {
		for range domainSize - have[d] {
			if err := r.startWorker(standin.EngineName, d); err != nil {
				r.note(change{what: err.Error()})
			}
		}
	}
}

// reconfigure adds a route and takes a key away, and asks all nodes how soon they know.
func (r *run) reconfigure() {
	if err := r.configure(func(c *standin.Configuration) { c.WithNewPath, c.WithoutKey = true, true }); err != nil {
		r.note(change{what: err.Error()})
		return
	}
	r.note(change{what: "configuration", trouble: reconfigure})
	go r.probe()
}

// probe sends requests on the new route and with the key taken away to all nodes for a while.
func (r *run) probe() {
	for range 30 {
		for _, n := range r.nodes {
			r.callers.active.Go(func() { r.callers.try(n, standin.NewPath, "new", standin.Key) })
			r.callers.active.Go(func() { r.callers.try(n, standin.SafePath, "revoked", standin.RevokedKey) })
		}
		time.Sleep(250 * time.Millisecond)
	}
}
