package overseer

// control reacts to the latencies of the serving tasks on a worker. The mutex is held.
func (reign *reign) control(_ *worker) {}
