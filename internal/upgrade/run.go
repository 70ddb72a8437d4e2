package upgrade

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/troutmast/troutmast/platform/standin"
)

// Options are what a run is made of.
type Options struct {
	From, To Build
	Seed     uint64
	Mode     Mode
	// Nodes is the number of nodes, at least 2.
	Nodes int
	// Dir is where settings and logs are kept.
	Dir string
	// Calm leaves out all troubles, Soak harms connections as well.
	Calm bool
	Soak bool
	// Pauses has workers pause beside each planned stop.
	Pauses bool
	// Abandons has callers disconnect from frozen nodes, which have not read their requests.
	Abandons bool
	// Restarts has workers crash and others start at their addresses, beside malformed entries of another writer. All workers then
	// have faulty connections.
	Restarts bool
	// Models has the configuration replace the model of the small groups again and again.
	Models bool
	// MemoryMB is the memory of a node in megabytes. 0 means that nodes do not bound what they hold for their callers.
	MemoryMB int
}

// Times of runs.
const (
	grace       = 4 * time.Second
	startTime   = 20 * time.Second
	calmBefore  = 2 * time.Second
	calmAfter   = 6 * time.Second
	troubleTime = 4 * time.Second
)

// The size of the deployment before the nodes.
const (
	domains       = 3
	domainSize    = 6
	plainWorkers  = 6
	limitedRate   = 1.5
	restSeconds   = 2.0
	drainTime     = 3 * time.Second
	deadlyEvery   = 80 * time.Millisecond
	copyAge       = 1500 * time.Millisecond
	rewriteWithin = 1500 * time.Millisecond
)

// run is one upgrade under way.
type run struct {
	Options
	plan    plan
	rng     *rand.Rand
	store   *standin.Store
	workers *standin.Fleet
	nodes   []*node
	callers *callers
	ip      func() netip.Addr
	links   *links
	// evacuations are planned ones, none in most runs.
	evacuations []evacuation
	// abandonments and restarts are none in most runs.
	abandonments []abandonment
	restarts     []restart
	replacements []replacement

	// calmSince is when the last trouble and the last replacement were over.
	calmSince time.Time

	// pauses draws the pauses of workers, if the run has any.
	pauses *rand.Rand

	mu            sync.Mutex
	configuration standin.Configuration
	began         time.Time
	changes       []change
	born          atomic.Int64
}

// change is something that the run did, which excuses or matters to the judge.
type change struct {
	at, until time.Time
	what      string
	node      *node
	trouble   trouble
	// planned tells that it is a planned stop of a node.
	planned bool
}

// runNumber numbers the runs of this process, so that each has loopback addresses of its own.
var runNumber atomic.Int32

// Play plays one run.
func Play(ctx context.Context, o Options) (*Report, error) {
	r := &run{Options: o, plan: newPlan(o.Seed, o.Mode, o.Nodes, o.kinds()), rng: rand.New(rand.NewPCG(o.Seed, 3)), store: standin.NewStore(), links: newLinks()}
	if o.Calm {
		r.plan.troubles = nil
	}
	if o.hasHalls() {
		r.evacuations = newEvacuations(o.Seed)
	}
	if o.hasAbandonments() {
		r.abandonments = newAbandonments(o.Seed, o.Nodes)
	}
	if o.hasRestarts() {
		r.restarts = newRestarts(o.Seed)
	}
	if o.hasReplacements() {
		r.replacements = newReplacements(o.Seed)
	}
	if o.hasPauses() {
		r.pauses = rand.New(rand.NewPCG(o.Seed, 4))
	}
	r.workers = standin.NewFleet(r.store)
	number, hosts := runNumber.Add(1), byte(0)
	r.ip = func() netip.Addr {
		hosts++
		return netip.AddrFrom4([4]byte{127, 100 + byte(os.Getpid()%100), byte(number), hosts})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.close()
	if err := r.deploy(ctx); err != nil {
		return nil, err
	}
	r.traffic(ctx)
	return r.judge(), ctx.Err()
}

// deploy starts the store, the workers and the nodes of the first build.
func (r *run) deploy(ctx context.Context) error {
	if err := r.configure(func(*standin.Configuration) {}); err != nil {
		return err
	}
	for d := range domains {
		for range domainSize {
			if err := r.startWorker(standin.EngineName, fmt.Sprint("d", d)); err != nil {
				return err
			}
		}
	}
	for range r.plainWorkers() {
		if err := r.startWorker(standin.PlainName, ""); err != nil {
			return err
		}
	}
	var seeds []netip.AddrPort
	for i := range r.Nodes {
		door := r.store.Door()
		ln, err := net.Listen("tcp4", netip.AddrPortFrom(r.ip(), 0).String())
		if err != nil {
			return fmt.Errorf("%w: %w", ErrRun, err)
		}
		srv := &http.Server{Handler: door, ReadHeaderTimeout: time.Minute}
		go func() { _ = srv.Serve(ln) }()
		context.AfterFunc(ctx, func() { _ = srv.Close() })
		store, err := r.linkStore(ln)
		if err != nil {
			return err
		}
		n := place(i, r.Dir, r.ip(), store, door, seeds)
		r.boundHalls(&n.machine)
		n.machine.MemoryMB = r.memoryMB()
		seeds = append(seeds, n.machine.Control)[:min(len(seeds)+1, 3)]
		r.nodes = append(r.nodes, n)
		if err := n.start(r.From); err != nil {
			return err
		}
	}
	r.callers = newCallers(r.nodes, r.Seed)
	return r.await(ctx)
}

// await waits until all nodes serve requests for both models.
func (r *run) await(ctx context.Context) error {
	end := time.Now().Add(startTime)
	for _, n := range r.nodes {
		for _, path := range []string{standin.StreamPath, standin.SmallPath, standin.SafePath} {
			for r.callers.try(n, path, "first", standin.Key).outcome != served {
				if time.Now().After(end) || ctx.Err() != nil {
					return fmt.Errorf("%w: %s does not serve %s after %s: %s", ErrRun, n.machine.Name, path, startTime, last(n.logText()))
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}

// last returns the end of a log.
func last(log []byte) []byte {
	const most = 2000
	return log[max(len(log)-most, 0):]
}

// traffic has callers call while nodes are replaced and troubles happen.
func (r *run) traffic(ctx context.Context) {
	r.began = time.Now()
	calling, quiet := context.WithCancel(ctx)
	go r.callers.watch(calling)
	var caller sync.WaitGroup
	caller.Go(func() { r.callers.run(calling) })
	time.Sleep(calmBefore)
	var under sync.WaitGroup
	under.Go(func() { r.makeTrouble(ctx) })
	under.Go(func() { r.replaceAll(ctx) })
	under.Go(func() { r.evacuateHalls(ctx) })
	under.Go(func() { r.abandonRequests(ctx) })
	under.Go(func() { r.restartWorkers(ctx) })
	under.Go(func() { r.replaceModels(ctx) })
	under.Wait()
	r.calmSince = time.Now()
	time.Sleep(calmAfter)
	quiet()
	caller.Wait()
}

// note records a change.
func (r *run) note(c change) {
	if c.at.IsZero() {
		c.at = time.Now()
	}
	if c.until.IsZero() {
		c.until = c.at
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, c)
}

// replaceAll replaces nodes one at a time, as the mode says.
func (r *run) replaceAll(ctx context.Context) {
	there := len(r.nodes)
	if r.plan.mode == HalfAndBack {
		there = (there + 1) / 2
	}
	step := 0
	replace := func(n *node, b Build) {
		r.replace(ctx, n, b)
		sleep(ctx, r.plan.pauses[step])
		step++
	}
	for i, n := range r.nodes[:there] {
		replace(n, r.To)
		if i+1 == (len(r.nodes)+1)/2 {
			r.pause(ctx)
		}
	}
	if r.plan.mode == Forward {
		return
	}
	for _, n := range r.nodes[:there] {
		replace(n, r.From)
	}
}

// pause lets nodes of both builds run side by side for a time, in which workers name a limit.
func (r *run) pause(ctx context.Context) {
	if !r.Calm {
		go r.limit(ctx)
	}
	sleep(ctx, r.plan.halfway)
}

// replace stops a node as planned and starts a build in its place, and waits until it is ready.
func (r *run) replace(ctx context.Context, n *node, b Build) {
	began := time.Now()
	if r.pauses != nil {
		r.pauseBeside()
	}
	n.stop(ctx)
	ended := time.Now()
	if err := n.start(b); err != nil {
		r.note(change{what: err.Error(), node: n})
		return
	}
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTime); !n.ready(client) && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(50 * time.Millisecond)
	}
	r.note(change{at: began, until: ended, what: "replaced by " + b.Commit, node: n, planned: true})
}

// makeTrouble has the planned troubles happen, one after the other.
func (r *run) makeTrouble(ctx context.Context) {
	for _, t := range r.plan.troubles {
		sleep(ctx, time.Until(r.began.Add(calmBefore+t.at)))
		if ctx.Err() != nil {
			return
		}
		r.trouble(ctx, t.what)
	}
	sleep(ctx, troubleTime)
}

// sleep waits, unless the context ends before.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(max(d, 0)):
	}
}

// close ends all processes and workers of the run.
func (r *run) close() {
	for _, n := range r.nodes {
		if ex, _ := n.life(); ex != nil {
			n.kill()
		}
	}
	r.workers.Stop()
	r.links.close()
}

// startWorker starts a worker of a service.
func (r *run) startWorker(service, domain string) error {
	ln, err := net.Listen("tcp4", netip.AddrPortFrom(r.ip(), 0).String())
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRun, err)
	}
	w := &standin.Worker{ID: fmt.Sprintf("i-%d", r.born.Add(1)), Service: service, Hall: halls[0], Domain: domain, HasFaultyConnections: r.hasRestarts()}
	r.setHall(w)
	if err := r.linkWorker(w, ln); err != nil {
		return err
	}
	return r.workers.Start(w, ln)
}

// configure writes the next version of the configuration, with a change.
func (r *run) configure(change func(*standin.Configuration)) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.configuration
	c.Version += 3
	change(c)
	if r.hasHalls() {
		c.ColdPerSecond, c.ColdStart = coldPerSecond, coldStart
	}
	return r.store.Configure(*c)
}

// KeepLogs copies the logs of a run into a folder.
func KeepLogs(from, to string) error {
	if err := os.MkdirAll(to, 0o755); err != nil {
		return fmt.Errorf("%w: %w", ErrRun, err)
	}
	logs, err := filepath.Glob(filepath.Join(from, "*.log"))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRun, err)
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err == nil {
			err = os.WriteFile(filepath.Join(to, filepath.Base(path)), text, 0o644)
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrRun, err)
		}
	}
	return nil
}

// signalFor sends a signal to a node and another one after a time.
func signalFor(n *node, first, second syscall.Signal, d time.Duration) {
	n.signal(first)
	time.Sleep(d)
	n.signal(second)
}
