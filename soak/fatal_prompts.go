package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// fatalPrefix is a part of prompts that crashes the targets that begin to write a response to one, and sharedPrefix
	// one that sound prompts have too.
	fatalPrefix, sharedPrefix = "fa7a1", "c0117"
	// promptPause is the mean pause of the caller of fatal prompts, and of that of sound ones.
	promptPause = 250 * time.Millisecond
	// Boxes must put the part in quarantine once crashesToStop targets have ended. At most maxLatePrompts later prompts with
	// it are tolerated, and minSoundServed is the least share of sound prompts served from twice contactBound after these
	// ends, relative to the share before the first.
	crashesToStop, maxLatePrompts, minSoundServed, minSoundPrompts = 5, 3, 0.5, 20
)

// sendPrompts sends prompts to boxes drawn at random until ctx ends, no two of which are alike. Fatal ones begin after sound
// ones.
func (e *environment) sendPrompts(ctx context.Context, fatal bool) {
	r, name, org := rand.New(rand.NewPCG(e.options.Seed, 7)), "sound-prompt", e.organisations[0]
	if fatal {
		r, name = rand.New(rand.NewPCG(e.options.Seed, 8)), "fatal-prompt"
		time.Sleep(warmUp + contactBound)
	}
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		ex := exchange{organisation: org.name, prompt: true}
		ex.request = standin.Request{ID: fmt.Sprintf("%s-%d", name, i), Key: org.key, Path: []string{"/again/x", "/stream/x"}[i%2], Timeout: callerTimeout}
		ex.request.Body = "prompt " + ex.request.ID
		ex.request.Prefixes = []string{sharedPrefix, "own-" + ex.request.ID}
		if fatal {
			ex.request.Prefixes = slices.Insert(ex.request.Prefixes, 1, fatalPrefix)
		}
		b := e.boxes[r.IntN(len(e.boxes))]
		exchanges.Go(func() { e.exchange(c, b, ex) })
		time.Sleep(promptPause/2 + time.Duration(r.Int64N(int64(promptPause))))
	}
}

// checkFatalPrompts reports prompts with the fatal part that reach targets after boxes had the time to put it in
// quarantine, and sound ones that are not served beside them.
func (rec *recorder) checkFatalPrompts(violate violationFunc) {
	ends := slices.Clone(rec.promptCrashes)
	if len(ends) == 0 {
		return
	}
	slices.SortFunc(ends, time.Time.Compare)
	last := ends[min(len(ends), crashesToStop)-1]
	late, sound, served, before, beforeServed := 0, 0, 0, 0, 0
	for _, ex := range rec.exchanges {
		if !ex.prompt || !rec.faultFree(ex.box, ex.sentAt, ex.endedAt, scopeBox) {
			continue
		}
		inTouch := rec.faultFree(ex.box, ex.sentAt, ex.endedAt, scopeBoxStore, scopeStore)
		switch fatal := slices.Contains(ex.request.Prefixes, fatalPrefix); {
		case fatal:
			for _, run := range rec.runs[ex.request.ID] {
				if inTouch && len(ends) >= crashesToStop && run.At.After(last.Add(contactBound+timingSlack)) {
					late++
				}
			}
		case ex.sentAt.After(last.Add(2 * contactBound)):
			sound, served = sound+1, served+count(ex.reply.Correct)
		case ex.endedAt.Before(ends[0]):
			before, beforeServed = before+1, beforeServed+count(ex.reply.Correct)
		}
	}
	rec.promptSummary = fmt.Sprintf("fatal prompts: %d targets ended, %d late; sound ones: %d of %d served, %d of %d before", len(ends), late, served, sound, beforeServed, before)
	if late > maxLatePrompts {
		violate("crashing prompts", "%d prompts ran after the time limit for the quarantine of their part, of %d targets that ended", late, len(ends))
	}
	if min(sound, before) >= minSoundPrompts && float64(served)/float64(sound) < minSoundServed*float64(beforeServed)/float64(before) {
		violate("crashing prompts", "%s", strings.TrimSpace(rec.promptSummary))
	}
}

func count(applies bool) int {
	if applies {
		return 1
	}
	return 0
}
