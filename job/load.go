package job

import (
	"context"
	"errors"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"amberway/common"
	"amberway/platform"
)

// watchBatchDelay is the pause after changes before the next watch, so that one call
// returns several. Each call to the store costs money, and a job has some hundred milliseconds
// to spare.
const watchBatchDelay = 20 * time.Millisecond

// listRevisions are the revisions of the lists, from which to watch for changes.
type listRevisions struct {
	jobs, workers platform.Revision
}

// narrowLinkMbps is the bandwidth up to which a new owner reads the lists one after the
// other. The lists of 1,200 jobs occupy such a link for a second, during which renewals of
// the owner's lease have to get through.
const narrowLinkMbps = 10

// loadWithRetry retries load for as long as the ownership lasts. Giving up would not help:
// the next owner would find the store just as slow.
func (o *owner) loadWithRetry(ctx context.Context, config *platform.Config) (Inherited, listRevisions, error) {
	for {
		e, from, err := o.load(ctx, config)
		if err == nil || errors.Is(err, errDeposed) || ctx.Err() != nil || o.sinceRenewal() > ownerTTL {
			return e, from, err
		}
		o.log.Write(LogLine{What: "takeover read failed", Why: err.Error(), Fields: []any{"age_ms", o.sinceRenewal().Milliseconds()}})
		common.Sleep(ctx, followRetry)
	}
}

// load reads the state that a new owner takes over. The lists can be read in parallel: each
// is either written by owners only, and the store rejects writes of earlier owners by now,
// or watched from the revision of its list on. Reading them one after the other took 2.4 s
// from a slow store.
func (o *owner) load(ctx context.Context, config *platform.Config) (Inherited, listRevisions, error) {
	e := Inherited{Config: config, Replaced: o.tenure.replaced != 0, Progress: map[ID]Progress{}, WavesEnded: map[int64]bool{}, WavesBegan: map[int64][]string{}}
	var from listRevisions
	g, gctx := errgroup.WithContext(ctx)
	if o.linkMbps > 0 && o.linkMbps <= narrowLinkMbps {
		g.SetLimit(1)
	}
	g.Go(func() error { return o.revokePredecessor(gctx) })
	g.Go(func() (err error) {
		from.jobs, err = o.loadJobs(gctx, &e)
		return err
	})
	g.Go(func() error { return o.loadProgress(gctx, &e) })
	g.Go(func() (err error) {
		from.workers, err = o.loadWorkers(gctx, &e)
		return err
	})
	g.Go(func() error { return o.loadOwnerState(gctx, &e) })
	g.Go(func() error { return o.loadWaves(gctx, &e) })
	g.Go(func() error { return o.loadEvacuations(gctx, &e) })
	err := g.Wait()
	if err == nil {
		from.jobs = o.catchUp(ctx, &e, from.jobs)
		err = o.checkOwnership(ctx)
	}
	return e, from, err
}

// addJob adds a job or a cancellation that was found in the store.
func (e *Inherited) addJob(v Event) {
	switch v := v.(type) {
	case Accepted:
		e.Jobs = append(e.Jobs, v)
	case CancelRequested:
		e.Cancels = append(e.Cancels, v.ID)
	}
}

// checkOwnership returns errDeposed unless the owner's key still holds this owner's claim.
// If it does, everything listed before was stored in this owner's term. The next owner
// relies on that: it assumes that no earlier owner has seen jobs created after its claim.
func (o *owner) checkOwnership(ctx context.Context) error {
	v, err := o.KV.Get(ctx, ownerKey)
	if errors.Is(err, platform.ErrNotFound) || (err == nil && v.Revision != platform.Revision(o.tenure.fence)) {
		return errDeposed
	}
	return err
}

func (o *owner) loadJobs(ctx context.Context, e *Inherited) (platform.Revision, error) {
	l, at, err := o.KV.List(ctx, jobsPrefix)
	if err != nil {
		return 0, err
	}
	for _, v := range l {
		if v.Key == admissionKey {
			o.loadAdmissionPolicy(v, e)
		}
		if strings.HasPrefix(v.Key, ownerKey) {
			continue
		}
		e.addJob(o.jobEvent(v))
	}
	return at, nil
}

// loadAdmissionPolicy decodes the policy of the previous owner.
func (o *owner) loadAdmissionPolicy(v platform.Entry, e *Inherited) {
	p, err := decodeAdmissionPolicy(v)
	if err != nil {
		o.log.Write(LogLine{What: "store entry invalid", Why: err.Error()})
		return
	}
	e.Admission = p
}

func (o *owner) loadProgress(ctx context.Context, e *Inherited) error {
	l, _, err := o.KV.List(ctx, progressPrefix)
	if err != nil {
		return err
	}
	for _, v := range l {
		id, p, err := decodeProgress(v)
		if err != nil {
			o.log.Write(LogLine{What: "store entry invalid", Job: id, Why: err.Error()})
			continue
		}
		e.Progress[id] = p
	}
	return nil
}

func (o *owner) loadWorkers(ctx context.Context, e *Inherited) (platform.Revision, error) {
	l, at, err := o.KV.List(ctx, platform.WorkerPrefix)
	if err != nil {
		return 0, err
	}
	for _, v := range l {
		if w, ok := o.decodeWorker(v); ok {
			e.Workers = append(e.Workers, w)
		}
	}
	return at, nil
}

// loadOwnerState reads what earlier owners have stored besides the progress of jobs: the
// roster, started waves and the revision of the last write.
func (o *owner) loadOwnerState(ctx context.Context, e *Inherited) error {
	l, _, err := o.KV.List(ctx, ownerOnlyPrefix)
	if err != nil {
		return err
	}
	for _, v := range l {
		switch {
		case v.Key == writeKey:
			o.writer.last = v.Revision
		case strings.HasPrefix(v.Key, wavePrefix):
			o.loadWaveBegan(v, e)
		}
	}
	e.Roster = readRoster(l)
	return nil
}

func (o *owner) loadWaveBegan(v platform.Entry, e *Inherited) {
	n, began, err := decodeWaveBegan(v)
	if err != nil {
		o.log.Write(LogLine{What: "store entry invalid", Why: err.Error()})
		return
	}
	e.WavesBegan[n] = began
}

func (o *owner) loadWaves(ctx context.Context, e *Inherited) error {
	l, _, err := o.KV.List(ctx, platform.WavePrefix)
	if err != nil || len(l) == 0 {
		return err
	}
	for _, v := range l {
		w, err := platform.DecodeWave(v)
		if err != nil {
			o.log.Write(LogLine{What: "store entry invalid", Why: err.Error()})
			continue
		}
		e.Waves = append(e.Waves, w)
		k, done := platform.WaveStatus(w.Number, true)
		s, err := o.KV.Get(ctx, k)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		e.WavesEnded[w.Number] = err == nil && string(s.Value) == string(done)
	}
	return nil
}

// jobEvent returns the event for an entry under jobsPrefix, or nil if it is invalid.
func (o *owner) jobEvent(v platform.Entry) Event {
	if len(v.Key) > len(cancelPrefix) && v.Key[:len(cancelPrefix)] == cancelPrefix {
		return CancelRequested{ID: ID(v.Key[len(cancelPrefix):])}
	}
	id, r, err := decodeRecord(v)
	if err != nil {
		o.log.Write(LogLine{What: "store entry invalid", Job: id, Why: err.Error()})
		return nil
	}
	return Accepted{ID: id, Record: r, Created: v.Revision}
}

func (o *owner) decodeWorker(v platform.Entry) (platform.Worker, bool) {
	w, err := platform.DecodeWorker(v)
	if err != nil {
		o.log.Write(LogLine{What: "store entry invalid", Why: err.Error()})
	}
	return w, err == nil
}

// followJobs sends events for new and cancelled jobs to the core. It resigns when it finds
// another owner's claim, which is under the same prefix.
func (o *owner) followJobs(ctx context.Context, from platform.Revision) {
	f := &follower{kv: o.KV, prefix: jobsPrefix, watchTimes: jobsWatch, batchDelay: watchBatchDelay, log: o.log}
	f.onList = func(l []platform.Entry, _ platform.Revision) {
		err := o.checkOwnership(ctx)
		for err != nil && !errors.Is(err, errDeposed) && ctx.Err() == nil {
			common.Sleep(ctx, followRetry)
			err = o.checkOwnership(ctx)
		}
		if err != nil {
			o.resign(err.Error())
			return
		}
		for _, v := range l {
			if !strings.HasPrefix(v.Key, ownerKey) {
				o.sendJob(ctx, v)
			}
		}
	}
	f.onChange = func(l []platform.Event, _ platform.Revision) {
		for _, v := range l {
			switch {
			case v.Key == ownerKey && v.Revision != platform.Revision(o.tenure.fence):
				o.resign(errDeposed.Error())
				return
			case !strings.HasPrefix(v.Key, ownerKey) && !v.Deleted:
				o.sendJob(ctx, v.Entry)
			}
		}
	}
	f.watch(ctx, from)
	f.run(ctx)
}

func (o *owner) sendJob(ctx context.Context, v platform.Entry) {
	if e := o.jobEvent(v); e != nil {
		o.send(ctx, e)
	}
}

// workerEvent returns the event for a changed worker record. An invalid record counts as
// deleted.
func (o *owner) workerEvent(v platform.Event) Event {
	if !v.Deleted {
		if w, ok := o.decodeWorker(v.Entry); ok {
			return WorkerListed{Worker: w}
		}
	}
	return WorkerUnlisted{Name: platform.WorkerNameOf(v.Key)}
}

// followWorkers sends events for added, changed and removed workers to the core.
func (o *owner) followWorkers(ctx context.Context, from platform.Revision) {
	f := &follower{kv: o.KV, prefix: platform.WorkerPrefix, watchTimes: jobsWatch, batchDelay: watchBatchDelay, log: o.log}
	f.onList = func(l []platform.Entry, _ platform.Revision) {
		all := WorkerList{}
		for _, v := range l {
			if w, ok := o.decodeWorker(v); ok {
				all = append(all, w)
			}
		}
		o.send(ctx, all)
	}
	f.onChange = func(l []platform.Event, _ platform.Revision) {
		for _, v := range l {
			o.send(ctx, o.workerEvent(v))
		}
	}
	f.watch(ctx, from)
	f.run(ctx)
}
