package router

// Status is a snapshot of what a router knows, for operators.
type Status struct {
	pools []PoolStatus
}

// Pools returns the pools by name.
func (status Status) Pools() []PoolStatus { return status.pools }

// PoolStatus is a snapshot of one pool.
type PoolStatus struct {
	name string
}

// Name returns the pool's name.
func (poolStatus PoolStatus) Name() string { return poolStatus.name }

// Status returns a snapshot for operators.
func (router *Router) Status() Status { return Status{} }
