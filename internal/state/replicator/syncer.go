package replicator

import "github.com/crocusplank/crocusplank/pkg/scheduler"

type syncResult struct {
	epoch uint64
	index scheduler.Index
	err   error
}

// syncer runs Journal.Sync outside the event loop, so that heartbeats continue. One sync runs at a time and
// covers every entry appended before it was started.
type syncer struct {
	requests chan uint64
	results  chan syncResult
	busy     bool
}

func newSyncer() syncer {
	return syncer{requests: make(chan uint64, 1), results: make(chan syncResult, 1)}
}

func (node *node) runSyncer() {
	defer node.running.Done()
	for {
		select {
		case <-node.stopped:
			return
		case epoch := <-node.syncing.requests:
			index, err := node.journal.Sync()
			node.syncing.results <- syncResult{epoch: epoch, index: index, err: err}
		}
	}
}

func (node *node) startSync() {
	if node.syncing.busy || node.log.durable >= node.log.last || node.isInstalling() {
		return
	}
	if node.settings.hooks.skipSync {
		node.log.durable = node.log.last
		node.sendSyncedResponse()
		return
	}
	node.syncing.busy = true
	node.syncing.requests <- node.log.epoch
}

// handleSynced updates the durable index. After a failed sync, it is unknown which data has reached the
// disk, so the error ends the participation of this VM in the group.
func (node *node) handleSynced(result syncResult) error {
	node.syncing.busy = false
	if result.err != nil {
		return Error.Wrap(result.err)
	}
	if result.epoch == node.log.epoch {
		node.log.durable = max(node.log.durable, min(result.index, node.log.last))
	}
	node.sendSyncedResponse()
	return nil
}
